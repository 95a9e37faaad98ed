#include "configuration_check/configuration_check_types.h"

namespace buckthornhill::configuration_check {
namespace {
std::string_view to_string(place_kind kind)
{
    switch (kind) {
    case place_kind::document:
        return "document";
    case place_kind::configuration:
        return "configuration";
    case place_kind::limits:
        return "limits";
    case place_kind::route:
        return "route";
    case place_kind::service:
        return "service";
    case place_kind::account:
        return "account";
    }
    return "unknown";
}
} // namespace

std::string_view to_string(finding_severity severity)
{
    switch (severity) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::note:
        return "note";
    }
    return "unknown";
}

std::string to_string(const finding_place& place)
{
    std::string text(to_string(place.kind));
    if (!place.name.empty()) {
        text += " " + place.name;
    }
    if (!place.host.empty()) {
        text += " of " + place.host;
    }
    return text;
}

finding_place place_of(const routing::route& route)
{
    return {place_kind::route, route.host, route.name};
}

finding_place place_of(const service_id& service)
{
    return {place_kind::service, {}, service.str()};
}

finding_place place_of(const accounts::client_account& account)
{
    return {place_kind::account, {}, account.id.str()};
}
} // namespace buckthornhill::configuration_check
