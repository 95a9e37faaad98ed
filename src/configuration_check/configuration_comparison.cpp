#include "configuration_check/configuration_comparison.h"

#include <algorithm>
#include <map>
#include <utility>

#include "configuration_check/value_text.h"
#include "routing/route_table.h"

namespace buckthornhill::configuration_check {
namespace {
using routing::route;
using routing::routing_configuration;
using findings = std::vector<finding>;
using route_key = std::pair<std::string, std::string>; //!< host and prefix

constexpr const char* immediate_effect = "; a lowered limit takes effect at once";

//! Reports the changed fields of one part of the configuration.
class field_comparison
{
public:
    field_comparison(finding_place place, findings& found)
        : place(std::move(place))
        , found(found)
    {
    }

    template <typename Value>
    void compare(const std::string& name, const Value& before, const Value& after,
                 const std::string& effect = "", finding_severity severity = finding_severity::note)
    {
        const auto old_text = text_of(before);
        const auto new_text = text_of(after);
        if (old_text != new_text) {
            this->found.push_back(
                {severity, this->place, name + ": " + old_text + " -> " + new_text + effect});
        }
    }

    void compare_regions(const std::set<region_id>& before, const std::set<region_id>& after)
    {
        const bool is_narrowed = !after.empty() && (before.empty() || !std::ranges::includes(after, before));
        this->compare("allowed regions", before, after,
                      is_narrowed ? "; waiting requests for which no allowed region is left end with 403"
                                  : "");
    }

    //! A limit where a lower value allows less.
    template <typename Value>
    void compare_limit(const std::string& name, const Value& before, const Value& after)
    {
        this->compare(name, before, after, after < before ? immediate_effect : "");
    }

    //! A limit where 0 means that there is none.
    template <typename Value>
    void compare_optional_limit(const std::string& name, const Value& before, const Value& after)
    {
        const Value none{};
        const bool is_lowered = after != none && (before == none || after < before);
        this->compare(name, before, after, is_lowered ? immediate_effect : "");
    }

private:
    finding_place place;
    findings& found;
};

//! Of several routes with the same key the first one is used, as by the gateways.
std::map<route_key, const route*> index_routes(const routing_configuration& configuration)
{
    std::map<route_key, const route*> index;
    for (const auto& route : configuration.routes) {
        index.emplace(route_key(route.host, route.path_prefix), &route);
    }
    return index;
}

void compare_versions(const routing_configuration& in_force, const routing_configuration& next,
                      findings& found)
{
    if (next.version <= in_force.version) {
        found.push_back({finding_severity::error,
                         {},
                         "would be ignored: its version " + text_of(next.version) +
                             " is not newer than the version in force, " + text_of(in_force.version)});
    }
}

routing::route_table table_of(const routing_configuration& configuration)
{
    routing::route_table table;
    table.update_if_newer(configuration);
    return table;
}

std::string name_of(const route& route)
{
    return "the route " + route.name + " (prefix " + route.path_prefix + ")";
}

void report_added_route(const routing::route_table& in_force, const route& added, findings& found)
{
    const auto* previous = in_force.find(added.host, added.path_prefix);
    found.push_back({finding_severity::note, place_of(added),
                     "is added (prefix " + added.path_prefix + ", services " + text_of(added.services) + ")" +
                         (previous == nullptr ? "" : ": takes requests from " + name_of(*previous))});
}

void report_removed_route(const routing::route_table& next, const route& removed, findings& found)
{
    const auto* fallback = next.find(removed.host, removed.path_prefix);
    const std::string prefix = "is removed (prefix " + removed.path_prefix + ")";
    if (fallback == nullptr) {
        found.push_back(
            {finding_severity::warning, place_of(removed), prefix + ": waiting requests end with 404"});
        return;
    }
    found.push_back({finding_severity::warning, place_of(removed),
                     prefix + ": waiting requests go to " + name_of(*fallback)});
}

void compare_repeat_rules(const route& before, const route& after, field_comparison& fields)
{
    const bool is_single_run = after.repeats == routing::repeat_rule::at_most_once;
    fields.compare("repeat rule", before.repeats, after.repeats,
                   is_single_run ? "; requests under way are not repeated any more"
                                 : "; requests that arrive from then on may run more than once, requests "
                                   "under way are still not repeated",
                   is_single_run ? finding_severity::note : finding_severity::warning);
}

void compare_routes(const route& before, const route& after, bool needs_key, findings& found)
{
    field_comparison fields(place_of(after), found);
    fields.compare("name", before.name, after.name);
    compare_repeat_rules(before, after, fields);
    fields.compare("services", before.services, after.services);
    fields.compare_limit("timeout", before.timeout, after.timeout);
    fields.compare("objective", before.objective, after.objective);
    fields.compare("priority", before.priority, after.priority);
    fields.compare_limit("max_upstreams", before.max_upstreams, after.max_upstreams);
    fields.compare("affinity", before.has_affinity, after.has_affinity);
    fields.compare_regions(before.allowed_regions, after.allowed_regions);
    const bool becomes_private = needs_key && !after.is_public;
    fields.compare("public", before.is_public, after.is_public,
                   becomes_private ? "; waiting requests without a key end with 401" : "",
                   becomes_private ? finding_severity::warning : finding_severity::note);
}

void compare_all_routes(const routing_configuration& in_force, const routing_configuration& next,
                        findings& found)
{
    const auto before = index_routes(in_force);
    const auto after = index_routes(next);
    const auto in_force_table = table_of(in_force);
    const auto next_table = table_of(next);
    for (const auto& [key, route] : before) {
        const auto match = after.find(key);
        if (match == after.end()) {
            report_removed_route(next_table, *route, found);
        } else {
            compare_routes(*route, *match->second, !next.accounts.empty(), found);
        }
    }
    for (const auto& [key, route] : after) {
        if (!before.contains(key)) {
            report_added_route(in_force_table, *route, found);
        }
    }
}

void compare_services(const routing_configuration& in_force, const routing_configuration& next,
                      findings& found)
{
    for (const auto& [service, before] : in_force.services) {
        const auto match = next.services.find(service);
        if (match == next.services.end()) {
            found.push_back({finding_severity::note, place_of(service), "is removed"});
            continue;
        }
        const auto& after = match->second;
        field_comparison fields(place_of(service), found);
        fields.compare("health path", before.health_path, after.health_path);
        //! NOTE The gateways do not enforce this maximum, so no effect is stated.
        fields.compare("maximum of connections", before.max_connections, after.max_connections);
        fields.compare("cold period", before.cold_period, after.cold_period);
        fields.compare_optional_limit("cold rate", before.cold_requests_per_second,
                                      after.cold_requests_per_second);
    }
    for (const auto& [service, policy] : next.services) {
        if (!in_force.services.contains(service)) {
            found.push_back({finding_severity::note, place_of(service), "is added"});
        }
    }
}

std::map<accounts::api_key, account_id> index_keys(const routing_configuration& configuration)
{
    std::map<accounts::api_key, account_id> owners;
    for (const auto& account : configuration.accounts) {
        for (const auto& key : account.keys) {
            owners.emplace(key, account.id);
        }
    }
    return owners;
}

using key_index = std::map<accounts::api_key, account_id>;

//! Reports only numbers of keys, since a key is a secret.
void compare_keys(const accounts::client_account& before, const accounts::client_account& after,
                  const key_index& next_owners, findings& found)
{
    const auto lacks = [](const accounts::client_account& account) {
        return [&account](const accounts::api_key& key) {
            return std::ranges::find(account.keys, key) == account.keys.end();
        };
    };
    const auto gained = std::ranges::count_if(after.keys, lacks(before));
    const auto lost = std::ranges::count_if(before.keys, lacks(after));
    const auto ended = std::ranges::count_if(
        before.keys, [&](const accounts::api_key& key) { return !next_owners.contains(key); });
    if (gained > 0) {
        found.push_back(
            {finding_severity::note, place_of(after), "API keys gained: " + std::to_string(gained)});
    }
    if (lost == 0) {
        return;
    }
    std::string text = "API keys lost: " + std::to_string(lost);
    if (ended > 0) {
        text += "; waiting requests with " + std::to_string(ended) + " of them end with 401";
    }
    if (lost > ended) {
        text += "; " + std::to_string(lost - ended) + " of them belong to another account from then on";
    }
    found.push_back({finding_severity::warning, place_of(after), text});
}

void compare_account(const accounts::client_account& before, const accounts::client_account& after,
                     findings& found)
{
    field_comparison fields(place_of(after), found);
    fields.compare("priority", before.priority, after.priority);
    fields.compare_optional_limit("rate per second", before.limit.requests_per_second,
                                  after.limit.requests_per_second);
    fields.compare_limit("burst", before.limit.burst, after.limit.burst);
    fields.compare_regions(before.allowed_regions, after.allowed_regions);
}

void compare_access(const routing_configuration& in_force, const routing_configuration& next, findings& found)
{
    if (in_force.accounts.empty() && !next.accounts.empty()) {
        found.push_back({finding_severity::warning,
                         {},
                         "gets its first accounts: waiting requests without a key end with 401, except on "
                         "public routes"});
    }
    if (!in_force.accounts.empty() && next.accounts.empty()) {
        found.push_back(
            {finding_severity::warning, {}, "loses its last account: requests need no key any more"});
    }
}

void compare_accounts(const routing_configuration& in_force, const routing_configuration& next,
                      findings& found)
{
    compare_access(in_force, next, found);
    const auto next_owners = index_keys(next);
    const auto find_in = [](const routing_configuration& configuration, const account_id& id) {
        return std::ranges::find(configuration.accounts, id, &accounts::client_account::id);
    };
    for (const auto& before : in_force.accounts) {
        const auto match = find_in(next, before.id);
        if (match != next.accounts.end()) {
            compare_account(before, *match, found);
            compare_keys(before, *match, next_owners, found);
            continue;
        }
        found.push_back({finding_severity::warning, place_of(before), "is removed"});
        //! NOTE Without accounts the keys of requests are not checked at all.
        if (!next.accounts.empty()) {
            accounts::client_account without_keys;
            without_keys.id = before.id;
            compare_keys(before, without_keys, next_owners, found);
        }
    }
    for (const auto& after : next.accounts) {
        if (find_in(in_force, after.id) == in_force.accounts.end()) {
            found.push_back({finding_severity::note, place_of(after),
                             "is added (API keys: " + std::to_string(after.keys.size()) + ")"});
        }
    }
}

void compare_caller_limits(const routing::caller_limits& before, const routing::caller_limits& after,
                           findings& found)
{
    field_comparison fields({place_kind::limits, {}, {}}, found);
    fields.compare_limit("max_header_bytes", before.max_header_bytes, after.max_header_bytes);
    fields.compare_limit("max_body_bytes", before.max_body_bytes, after.max_body_bytes);
    fields.compare_limit("header timeout", before.header_timeout, after.header_timeout);
    fields.compare_limit("idle timeout", before.idle_timeout, after.idle_timeout);
}
} // namespace

std::vector<finding> compare_configurations(const routing_configuration& in_force,
                                            const routing_configuration& next)
{
    findings found;
    compare_versions(in_force, next, found);
    compare_caller_limits(in_force.limits, next.limits, found);
    compare_all_routes(in_force, next, found);
    compare_services(in_force, next, found);
    compare_accounts(in_force, next, found);
    return found;
}
} // namespace buckthornhill::configuration_check
