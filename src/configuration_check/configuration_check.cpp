#include "configuration_check/configuration_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "configuration_check/value_text.h"

namespace buckthornhill::configuration_check {
namespace {
using routing::route;
using routing::routing_configuration;
using findings = std::vector<finding>;

bool have_common_region(const std::set<region_id>& a, const std::set<region_id>& b)
{
    return a.empty() || b.empty() ||
           std::ranges::any_of(a, [&](const region_id& region) { return b.contains(region); });
}

void find_duplicate_routes(const routing_configuration& configuration, findings& found)
{
    std::map<std::pair<std::string, std::string>, const route*> first_routes;
    for (const auto& route : configuration.routes) {
        const auto [first, is_new] = first_routes.emplace(std::pair(route.host, route.path_prefix), &route);
        if (!is_new) {
            found.push_back({finding_severity::warning, place_of(route),
                             "gets no requests: the route " + first->second->name +
                                 " before it has the same host and the prefix " + route.path_prefix});
        }
    }
}

//! The gateways compare the host without its port and the path without its query.
void find_unmatched_names(const route& route, findings& found)
{
    if (route.host.find(':') != std::string::npos) {
        found.push_back({finding_severity::warning, place_of(route),
                         "gets no requests: hosts are matched without a port"});
    }
    if (route.path_prefix.find('?') != std::string::npos) {
        found.push_back({finding_severity::warning, place_of(route),
                         "gets no requests: paths are matched without the query"});
    }
}

void find_unserved_accounts(const routing_configuration& configuration, const route& route, findings& found)
{
    const auto& accounts = configuration.accounts;
    const bool is_served =
        route.is_public || accounts.empty() || std::ranges::any_of(accounts, [&](const auto& account) {
            return have_common_region(route.allowed_regions, account.allowed_regions);
        });
    if (!is_served) {
        found.push_back({finding_severity::error, place_of(route),
                         "rejects every request: no account may use any of its allowed regions"});
    }
}

void find_weightless_shares(const route& route, findings& found)
{
    const bool has_weight =
        std::ranges::any_of(route.services, [](const auto& share) { return share.weight > 0; });
    if (!has_weight && !route.services.empty()) {
        found.push_back({finding_severity::warning, place_of(route),
                         "has a total weight of 0: all its requests go to the service " +
                             route.services.front().service.str() + ", the first one"});
    }
}

void find_unused_services(const routing_configuration& configuration, findings& found)
{
    std::set<service_id> used;
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.services) {
            used.insert(share.service);
        }
    }
    for (const auto& [service, policy] : configuration.services) {
        if (!used.contains(service)) {
            found.push_back({finding_severity::warning, place_of(service), "is used by no route"});
        }
    }
}

void check_route_limits(const route& route, const check_settings& settings, findings& found)
{
    const auto place = place_of(route);
    if (route.timeout.count() == 0) {
        found.push_back({finding_severity::error, place, "has a timeout of 0: every request is refused"});
    } else if (route.objective > route.timeout) {
        found.push_back({finding_severity::warning, place,
                         "has an objective of " + text_of(route.objective) + " above its timeout of " +
                             text_of(route.timeout)});
    }
    if (route.objective.count() == 0 && route.timeout.count() > 0) {
        found.push_back({finding_severity::warning, place,
                         "has an objective of 0: its requests do not wait for a free upstream"});
    }
    const double retries = static_cast<double>(route.max_upstreams) - 1;
    //! NOTE Any budget bears the first retry of some requests, so only further ones are worth a note.
    if (retries > std::max(1.0, std::ceil(settings.retry_ratio))) {
        found.push_back({finding_severity::note, place,
                         "allows " + text_of(retries) + " retries of a request, but the retry budget is " +
                             text_of(settings.retry_ratio) + " for each first attempt"});
    }
}

void check_service_limits(const service_id& service, const routing::service_policy& policy, findings& found)
{
    const bool has_rate = policy.cold_requests_per_second > 0;
    const bool has_period = policy.cold_period.count() > 0;
    if (has_period && !has_rate) {
        found.push_back({finding_severity::warning, place_of(service),
                         "has a cold period of " + text_of(policy.cold_period) +
                             " and a cold rate of 0, which means no limit"});
    }
    if (has_rate && !has_period) {
        found.push_back({finding_severity::warning, place_of(service),
                         "has a cold rate of " + text_of(policy.cold_requests_per_second) +
                             " requests/s and a cold period of 0"});
    }
}

void check_account(const accounts::client_account& account, findings& found)
{
    const auto place = place_of(account);
    if (account.keys.empty()) {
        found.push_back(
            {finding_severity::warning, place, "has no API keys, so no request can be made for it"});
    }
    const auto& limit = account.limit;
    if (limit.requests_per_second > 0 && limit.burst < 1) {
        found.push_back({finding_severity::warning, place,
                         "has a burst of " + text_of(limit.burst) + ", below one request, and a rate of " +
                             text_of(limit.requests_per_second) + " requests/s"});
    }
    if (limit.requests_per_second == 0 && limit.burst > 0) {
        found.push_back(
            {finding_severity::warning, place,
             "has a burst of " + text_of(limit.burst) + " and a rate of 0, which means no limit"});
    }
}

void check_caller_limits(const routing::caller_limits& limits, findings& found)
{
    const finding_place place{place_kind::limits, {}, {}};
    if (limits.header_timeout.count() == 0) {
        found.push_back({finding_severity::warning, place,
                         "the header timeout is 0: requests whose header arrives in parts are cut off"});
    }
    if (limits.idle_timeout.count() == 0) {
        found.push_back(
            {finding_severity::warning, place, "the idle timeout is 0: idle connections are closed at once"});
    }
}
} // namespace

std::vector<finding> check_configuration(const routing_configuration& configuration,
                                         const check_settings& settings)
{
    findings found;
    check_caller_limits(configuration.limits, found);
    find_duplicate_routes(configuration, found);
    for (const auto& route : configuration.routes) {
        find_unmatched_names(route, found);
        find_unserved_accounts(configuration, route, found);
        find_weightless_shares(route, found);
        check_route_limits(route, settings, found);
    }
    find_unused_services(configuration, found);
    for (const auto& [service, policy] : configuration.services) {
        check_service_limits(service, policy, found);
    }
    for (const auto& account : configuration.accounts) {
        check_account(account, found);
    }
    return found;
}
} // namespace buckthornhill::configuration_check
