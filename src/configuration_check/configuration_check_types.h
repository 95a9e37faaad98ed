#pragma once

#include <string>
#include <string_view>

#include "routing/routing_types.h"

//! Finds faults in an operator's configuration before it is sent to the store, without input or output.
namespace buckthornhill::configuration_check {
enum class finding_severity {
    error,   //!< the configuration would not be put in force, or every request of a route would fail
    warning, //!< an entry has no effect, settings contradict each other, or requests under way end
    note
};

std::string_view to_string(finding_severity severity);

enum class place_kind { document, configuration, limits, route, service, account };

//! The part of the configuration that a finding is about.
struct finding_place
{
    place_kind kind = place_kind::configuration;
    std::string host; //!< of a route, else empty
    std::string name; //!< empty where the kind says it all; a field or position for the document
};

std::string to_string(const finding_place& place);

finding_place place_of(const routing::route& route);
finding_place place_of(const service_id& service);
finding_place place_of(const accounts::client_account& account);

struct finding
{
    finding_severity severity = finding_severity::note;
    finding_place place;
    std::string text; //!< never contains an API key
};

//! Settings of the gateways that decide whether a configuration suits them.
struct check_settings
{
    double retry_ratio = 0.2; //!< retries per first attempt; the gateways' default
};
} // namespace buckthornhill::configuration_check
