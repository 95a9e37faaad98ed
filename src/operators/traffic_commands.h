#pragma once

#include <string>

#include "operators/fleet_access.h"
#include "operators/operators_types.h"

namespace buckthornhill::operators {
//! Commands that act as a caller. Each returns the text to print.
class traffic_commands
{
public:
    traffic_commands(const operators_configuration& configuration, const fleet_access& fleet);

    std::string look_up(const std::string& service) const;
    //! Sends one request. A non-idempotent one first gets a ticket and is then sent with it, so that it runs
    //! at most once.
    std::string call(const std::string& target) const;

private:
    http::http_response send(const std::string& address, http::http_request request) const;
    std::string first_address() const;

    const operators_configuration& configuration;
    const fleet_access& fleet;
};
} // namespace buckthornhill::operators
