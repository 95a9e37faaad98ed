#include "operators/traffic_commands.h"

#include "http/blocking_call.h"
#include "http/percent_encoding.h"
#include "operators/operators_errors.h"

namespace buckthornhill::operators {
namespace {
constexpr unsigned status_ticket_required = 428;
}

traffic_commands::traffic_commands(const operators_configuration& settings, const fleet_access& access)
    : configuration(settings)
    , fleet(access)
{
}

std::string traffic_commands::first_address() const
{
    const auto addresses = this->fleet.caller_addresses();
    if (addresses.empty()) {
        throw operators_error(exit_status::failure, "the store lists no entry instance; set --entries");
    }
    return addresses.front();
}

http::http_response traffic_commands::send(const std::string& address, http::http_request request) const
{
    const auto result =
        http::call_and_wait(http::parse_endpoint(address), std::move(request), this->configuration.timeout);
    if (result.status != http::call_status::complete) {
        throw operators_error(exit_status::failure, "the entry instance at " + address +
                                                        " does not answer (" + result.detail + ")");
    }
    return result.response;
}

std::string traffic_commands::look_up(const std::string& service) const
{
    http::http_request request;
    request.target = "/.buckthornhill/lookup?service=" + http::percent_encoded(service) +
                     "&region=" + http::percent_encoded(this->configuration.region);
    return this->send(this->first_address(), std::move(request)).body + "\n";
}

std::string traffic_commands::call(const std::string& target) const
{
    http::http_request request{this->configuration.method, target, {}, this->configuration.body};
    request.headers.emplace_back("Bth-Customer", this->configuration.customer);
    request.headers.emplace_back("Bth-Region", this->configuration.region);
    const auto address = this->first_address();
    auto response = this->send(address, request);
    if (response.status == status_ticket_required) {
        const std::string tickets(http::find_header(response.headers, "Bth-Tickets"));
        request.headers.emplace_back("Bth-Ticket", tickets.substr(0, tickets.find('+')));
        response = this->send(address, request);
    }
    std::string text = "status " + std::to_string(response.status) + "\n";
    for (const auto& [name, value] : response.headers) {
        text += name;
        text.append(": ").append(value).append("\n");
    }
    return text + "\n" + response.body + "\n";
}
} // namespace buckthornhill::operators
