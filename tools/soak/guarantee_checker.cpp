#include "guarantee_checker.h"

#include <algorithm>

namespace buckthornhill::soak {
namespace {
//! The part of a request id that names its route, such as `/steady/`.
std::string prefix_in(const std::string& id)
{
    return id.substr(std::min(id.find('/'), id.size()));
}
} // namespace

void guarantee_checker::on_sent(time_point at, const std::string& request, const std::string& gateway,
                                bool is_idempotent)
{
    auto& record = this->requests[request];
    record.sent_at = at;
    record.gateway = gateway;
    record.is_idempotent = is_idempotent;
}

void guarantee_checker::on_outcome(time_point at, const std::string& request, request_outcome outcome)
{
    auto& record = this->requests[request];
    record.is_finished = true;
    record.outcome = outcome;
    record.finished_at = at;
}

void guarantee_checker::on_execution(time_point at, const std::string& request, const std::string& upstream,
                                     const std::string& service)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        this->reported_violations.push_back(upstream + " ran " + request + ", which no caller sent");
        return;
    }
    found->second.executions.push_back({at, upstream, service});
}

void guarantee_checker::on_planned_stop(time_point at, const std::string& gateway)
{
    this->planned_stops.emplace(gateway, at);
}

void guarantee_checker::on_leaving(time_point at, const std::string& upstream)
{
    this->leaving_since[upstream] = at;
}

bool guarantee_checker::overlaps_planned_stop(const request_record& request) const
{
    const auto [first, last] = this->planned_stops.equal_range(request.gateway);
    return std::any_of(first, last, [&](const auto& stop) {
        return request.finished_at > stop.second && request.sent_at < stop.second + this->bounds.stop;
    });
}

std::string guarantee_checker::drain_violation(const std::string& id, const request_record& request,
                                               const execution& execution) const
{
    const auto leaving = this->leaving_since.find(execution.upstream);
    const bool is_after_drain =
        leaving != this->leaving_since.end() && execution.at > leaving->second + this->bounds.drain;
    if (!is_after_drain || !this->faults.is_store_sound(leaving->second, leaving->second) ||
        !this->faults.is_in_touch(request.gateway, request.sent_at, execution.at) ||
        !this->faults.is_path_sound(execution.upstream, execution.at, execution.at)) {
        return {};
    }
    return id + " reached " + execution.upstream + " by " + request.gateway + " " +
           std::to_string(to_milliseconds(execution.at - leaving->second)) +
           " ms after it was registered as leaving";
}

std::string guarantee_checker::configuration_violation(const std::string& id, const request_record& request,
                                                       const std::string& service,
                                                       time_point handled_at) const
{
    //! Allowed are the configuration that must be in force when the request is sent and the later ones.
    auto configuration = this->configurations.upper_bound(request.sent_at - this->bounds.configuration);
    const auto prefix = prefix_in(id);
    if (configuration == this->configurations.begin() || prefix.empty()) {
        return {};
    }
    --configuration;
    const auto after_last = this->configurations.upper_bound(handled_at);
    const bool is_allowed = std::any_of(configuration, after_last, [&](const auto& entry) {
        const auto route = entry.second.find(prefix);
        return (route == entry.second.end() ? std::string() : route->second) == service;
    });
    if (is_allowed || !this->faults.is_in_touch(request.gateway, request.sent_at, handled_at)) {
        return {};
    }
    const auto seen = service.empty() ? std::string(" found no route") : " was run by " + service;
    return id + seen + " at " + request.gateway + ", which only an outdated configuration allows";
}

std::string guarantee_checker::violation_in(const std::string& id, const request_record& request) const
{
    if (request.executions.size() > 1 && !request.is_idempotent) {
        return id + " ran " + std::to_string(request.executions.size()) + " times";
    }
    if (request.outcome == request_outcome::refused && !request.executions.empty()) {
        return id + " was refused as not run, and " + request.executions.front().upstream + " ran it";
    }
    if (request.outcome == request_outcome::inauthentic) {
        return id + " got a success response that no upstream made for it";
    }
    const bool is_cut_off = request.outcome == request_outcome::broken && !request.executions.empty();
    if (is_cut_off && this->overlaps_planned_stop(request) &&
        this->faults.is_calm(request.sent_at - this->bounds.calm_before_stop, request.finished_at)) {
        return id + " was cut off by the planned stop of " + request.gateway;
    }
    for (const auto& execution : request.executions) {
        auto violation = this->drain_violation(id, request, execution);
        if (violation.empty()) {
            violation = this->configuration_violation(id, request, execution.service, execution.at);
        }
        if (!violation.empty()) {
            return violation;
        }
    }
    return request.outcome == request_outcome::no_route
               ? this->configuration_violation(id, request, {}, request.finished_at)
               : std::string();
}

std::vector<std::string> guarantee_checker::violations() const
{
    auto violations = this->reported_violations;
    std::size_t after_recovery = 0;
    std::size_t served = 0;
    for (const auto& [id, request] : this->requests) {
        auto violation = this->violation_in(id, request);
        if (!violation.empty()) {
            violations.push_back(std::move(violation));
        }
        const bool is_owed =
            request.is_owed && request.is_finished && request.outcome != request_outcome::no_route;
        if (request.sent_at >= this->recovered_at && is_owed) {
            ++after_recovery;
            served += request.outcome == request_outcome::whole ? 1 : 0;
        }
    }
    if (this->recovered_at != time_point::max() &&
        static_cast<double>(served) <
            this->bounds.min_served_share * static_cast<double>(std::max<std::size_t>(1, after_recovery))) {
        violations.push_back("only " + std::to_string(served) + " of " + std::to_string(after_recovery) +
                             " requests were served after all faults were over");
    }
    return violations;
}

std::size_t guarantee_checker::single_run_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->requests, [](const auto& entry) { return !entry.second.is_idempotent; }));
}

std::size_t guarantee_checker::count(request_outcome outcome) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->requests, [outcome](const auto& entry) {
        return entry.second.is_finished && entry.second.outcome == outcome;
    }));
}
} // namespace buckthornhill::soak
