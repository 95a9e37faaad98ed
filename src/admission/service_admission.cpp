#include "admission/service_admission.h"

#include <algorithm>
#include <cmath>

#include "global/error.h"
#include "global/hash.h"

namespace buckthornhill::admission {
namespace {
constexpr double mean_smoothing = 0.1;
constexpr std::chrono::milliseconds demand_averaging_time{1000};
constexpr std::chrono::milliseconds min_retry_after{50};
constexpr std::chrono::milliseconds max_retry_after{2000};
} // namespace

service_admission::service_admission(service_id name, const admission_configuration& settings,
                                     random_hook source)
    : service(std::move(name))
    , configuration(settings)
    , random(std::move(source))
    , local_demand(demand_averaging_time)
{
}

void service_admission::own(time_point now, const ownership::upstream_description& upstream)
{
    const auto found = this->owned.find(upstream.id);
    if (found != this->owned.end()) {
        found->second.update(upstream);
    } else {
        this->owned.emplace(upstream.id, upstream_slots(upstream, now, this->configuration));
    }
    if (this->released.erase(upstream.id) > 0) {
        this->owned.at(upstream.id).set_admittance(now, admittance::open);
    }
    this->resize_queue(now);
}

void service_admission::release(time_point now, const upstream_id& upstream)
{
    const auto found = this->owned.find(upstream);
    if (found == this->owned.end() || this->released.contains(upstream)) {
        return;
    }
    found->second.set_admittance(now, admittance::closed);
    if (found->second.in_flight() == 0) {
        this->owned.erase(found);
    } else {
        this->released[upstream] = true;
    }
    this->resize_queue(now);
}

void service_admission::resize_queue(time_point now)
{
    const auto slots = this->total_slots();
    this->queue.set_capacity(static_cast<std::size_t>(slots * this->configuration.max_queue_per_slot));
    if (slots > 0) {
        return;
    }
    for (const auto& waiting : this->queue.remove_expired(time_point::max())) {
        this->events.push_back(
            {waiting.flow, this->refuse(now, refusal_reason::no_upstream, waiting.priority)});
    }
}

void service_admission::set_admittance(time_point now, const upstream_id& upstream, admittance value)
{
    const auto found = this->owned.find(upstream);
    if (found != this->owned.end() && !this->released.contains(upstream)) {
        found->second.set_admittance(now, value);
    }
}

void service_admission::on_load_report(time_point now, const upstream_id& upstream, std::int64_t in_use)
{
    const auto found = this->owned.find(upstream);
    if (found != this->owned.end()) {
        found->second.on_load_report(now, in_use);
    }
}

void service_admission::restart_slow_starts(time_point now)
{
    for (auto& [id, upstream] : this->owned) {
        upstream.restart_slow_start(now);
    }
}

bool service_admission::owns(const upstream_id& upstream) const
{
    return this->owned.contains(upstream) && !this->released.contains(upstream);
}

std::int64_t service_admission::total_limit(time_point now) const
{
    std::int64_t sum = 0;
    for (const auto& [id, upstream] : this->owned) {
        sum += upstream.limit(now);
    }
    return sum;
}

std::int64_t service_admission::total_slots() const
{
    std::int64_t sum = 0;
    for (const auto& [id, upstream] : this->owned) {
        sum += this->released.contains(id) ? 0 : upstream.description().slots.value();
    }
    return sum;
}

std::int64_t service_admission::total_in_flight() const
{
    return static_cast<std::int64_t>(this->running.size());
}

std::int64_t service_admission::local_in_flight() const
{
    return this->total_in_flight() - this->remote_in_flight();
}

void service_admission::observe_local(time_point now)
{
    const auto demand = this->local_in_flight() + static_cast<std::int64_t>(this->queue.size());
    this->local_demand.observe(now, demand);
}

std::int64_t service_admission::headroom() const
{
    return static_cast<std::int64_t>(
        std::ceil(this->configuration.headroom_fraction * static_cast<double>(this->total_slots())));
}

std::int64_t service_admission::spare(time_point now)
{
    const auto local = static_cast<std::int64_t>(std::ceil(this->local_demand.value(now)));
    const auto unused = this->total_limit(now) - local - this->headroom();
    return std::clamp<std::int64_t>(unused, 0, this->remote_cap);
}

bool service_admission::has_unverified() const
{
    return std::any_of(this->owned.begin(), this->owned.end(),
                       [](const auto& item) { return item.second.is_unverified(); });
}

upstream_slots* service_admission::choose_upstream(time_point now, const admission_request& request)
{
    //! NOTE Rendezvous hashing among the upstreams with a free slot sends a target to the same upstream,
    //! whose cache is warm, as far as that upstream's limit allows.
    upstream_slots* best = nullptr;
    std::uint64_t best_weight = 0;
    bool is_best_avoided = true;
    for (auto& [id, upstream] : this->owned) {
        if (!upstream.has_room(now)) {
            continue;
        }
        const bool is_avoided = id == request.avoid;
        const auto weight = rendezvous_weight(upstream.id_hash(), request.affinity);
        const bool is_better = best == nullptr || (is_best_avoided && !is_avoided) ||
                               (is_best_avoided == is_avoided && weight > best_weight);
        if (is_better) {
            best = &upstream;
            best_weight = weight;
            is_best_avoided = is_avoided;
        }
    }
    return best;
}

bool service_admission::uses_credit(const admission_request& request) const
{
    return request.origin == request_origin::remote && !request.from.empty();
}

admission_decision service_admission::start(time_point now, const admission_request& request,
                                            upstream_slots& upstream)
{
    upstream.on_start(now);
    this->running.emplace(request.flow,
                          running_request{upstream.description().id, request.origin, request.from, now});
    if (this->uses_credit(request)) {
        this->credits.on_start(request.from);
    } else if (request.origin == request_origin::remote) {
        ++this->direct_remote;
    }
    this->observe_local(now);
    return {admission_kind::started, upstream.description().id, refusal_reason::none, {}};
}

duration service_admission::estimated_wait(time_point now, request_class priority) const
{
    const auto limit = std::max<std::int64_t>(1, this->total_limit(now));
    const auto ahead = static_cast<double>(this->queue.ahead_of(priority) + 1);
    const auto wait_us = this->mean_service_us * ahead / static_cast<double>(limit);
    return std::chrono::microseconds(static_cast<std::int64_t>(wait_us));
}

admission_decision service_admission::refuse(time_point now, refusal_reason reason, request_class priority)
{
    const duration hint =
        std::clamp<duration>(this->estimated_wait(now, priority), min_retry_after, max_retry_after);
    //! NOTE Jitter of up to the hint itself keeps refused callers from retrying at the same time.
    const duration jitter(
        static_cast<duration::rep>(this->random() % static_cast<std::uint64_t>(hint.count())));
    return {admission_kind::refused, {}, reason, hint + jitter};
}

admission_decision service_admission::offer(time_point now, const admission_request& request)
{
    if (request.deadline <= now) {
        return this->refuse(now, refusal_reason::deadline_passed, request.priority);
    }
    if (this->is_paused) {
        return this->refuse(now, refusal_reason::resynchronizing, request.priority);
    }
    const bool can_serve = this->total_limit(now) > 0 || this->has_unverified();
    if (this->total_slots() == 0 || !can_serve) {
        return this->refuse(now, refusal_reason::no_upstream, request.priority);
    }
    if (request.origin == request_origin::remote) {
        return this->offer_remote(now, request);
    }
    const bool is_next = this->queue.ahead_of(request.priority) == 0;
    if (is_next) {
        if (auto* upstream = this->choose_upstream(now, request)) {
            return this->start(now, request, *upstream);
        }
    }
    return this->enqueue(now, request);
}

admission_decision service_admission::offer_remote(time_point now, const admission_request& request)
{
    //! NOTE Requests of other regions are never queued here, because they would delay those of this region.
    const bool is_within_spare = this->remote_in_flight() < this->spare(now);
    const bool has_credit = !this->uses_credit(request) || this->credits.may_start(now, request.from);
    if (!is_within_spare || !has_credit) {
        return this->refuse(now, refusal_reason::no_credit, request.priority);
    }
    //! NOTE The spare slots are computed from a mean, so the headroom must also be free at the moment of
    //! admission.
    const bool keeps_headroom = this->total_in_flight() + this->headroom() < this->total_limit(now);
    auto* upstream = keeps_headroom ? this->choose_upstream(now, request) : nullptr;
    if (upstream == nullptr || this->queue.size() > 0) {
        return this->refuse(now, refusal_reason::overloaded, request.priority);
    }
    return this->start(now, request, *upstream);
}

admission_decision service_admission::enqueue(time_point now, const admission_request& request)
{
    if (now + this->estimated_wait(now, request.priority) >= request.deadline) {
        return this->refuse(now, refusal_reason::overloaded, request.priority);
    }
    if (this->queue.is_full()) {
        const auto evicted = this->queue.evict_below(request.priority);
        if (!evicted) {
            return this->refuse(now, refusal_reason::queue_full, request.priority);
        }
        this->events.push_back(
            {evicted->flow, this->refuse(now, refusal_reason::overloaded, evicted->priority)});
    }
    this->queue.push(request);
    this->observe_local(now);
    return {admission_kind::queued, {}, refusal_reason::none, {}};
}

void service_admission::on_finish(time_point now, flow_id flow, attempt_result result)
{
    const auto found = this->running.find(flow);
    if (found == this->running.end()) {
        return;
    }
    const auto request = found->second;
    this->running.erase(found);
    if (request.origin == request_origin::remote && !request.from.empty()) {
        this->credits.on_finish(request.from);
    } else if (request.origin == request_origin::remote) {
        --this->direct_remote;
    }
    if (result == attempt_result::completed) {
        const auto service_time_us =
            std::chrono::duration<double, std::micro>(now - request.started_at).count();
        this->mean_service_us += mean_smoothing * (service_time_us - this->mean_service_us);
    }
    const auto upstream = this->owned.find(request.upstream);
    if (upstream != this->owned.end()) {
        upstream->second.on_finish(now, result);
        if (upstream->second.in_flight() == 0 && this->released.erase(request.upstream) > 0) {
            this->owned.erase(upstream);
        }
    }
    this->start_waiting(now);
}

bool service_admission::withdraw(flow_id flow)
{
    return this->queue.remove(flow);
}

void service_admission::refuse_expired(time_point now)
{
    for (const auto& expired : this->queue.remove_expired(now)) {
        this->events.push_back(
            {expired.flow, this->refuse(now, refusal_reason::deadline_passed, expired.priority)});
    }
}

void service_admission::start_waiting(time_point now)
{
    this->refuse_expired(now);
    while (this->queue.size() > 0 && !this->is_paused) {
        upstream_slots* chosen = nullptr;
        const auto next = this->queue.pop([&](const admission_request& candidate) {
            chosen = this->choose_upstream(now, candidate);
            return chosen != nullptr;
        });
        if (!next) {
            return;
        }
        chosen = this->choose_upstream(now, *next);
        this->events.push_back({next->flow, this->start(now, *next, *chosen)});
    }
}

void service_admission::on_tick(time_point now)
{
    this->observe_local(now);
    this->start_waiting(now);
}

void service_admission::on_credit_request(time_point now, const instance_id& instance, std::int64_t wanted)
{
    this->credits.on_credit_request(now, instance, wanted);
}

void service_admission::grant_credits(time_point now)
{
    const auto available = this->spare(now) - this->direct_remote;
    this->credits.grant_round(now, std::max<std::int64_t>(0, available), this->configuration.credit_lifetime);
}

std::int64_t service_admission::granted_to(time_point now, const instance_id& instance) const
{
    return this->credits.granted_to(now, instance);
}

service_report service_admission::report(time_point now)
{
    service_report report;
    report.service = this->service;
    report.limit = this->total_limit(now);
    report.slots = this->total_slots();
    report.in_flight = this->total_in_flight();
    report.queued = static_cast<std::int64_t>(this->queue.size());
    report.mean_service_us = static_cast<std::int64_t>(this->mean_service_us);
    report.spare = this->spare(now);
    return report;
}

std::string_view to_string(refusal_reason reason)
{
    static constexpr std::string_view names[] = {"none",
                                                 "overloaded",
                                                 "queue-full",
                                                 "no-upstream",
                                                 "no-credit",
                                                 "deadline-passed",
                                                 "resynchronizing",
                                                 "quarantined",
                                                 "ticket-required",
                                                 "ticket-invalid",
                                                 "leaving",
                                                 "upstream-shed",
                                                 "upstream-unreachable",
                                                 "link-full"};
    return names[static_cast<std::size_t>(reason)];
}

refusal_reason parse_refusal_reason(std::string_view text)
{
    for (int value = 0; value <= static_cast<int>(refusal_reason::link_full); ++value) {
        const auto reason = static_cast<refusal_reason>(value);
        if (to_string(reason) == text) {
            return reason;
        }
    }
    throw error("unknown refusal reason '" + std::string(text) + "'");
}
} // namespace buckthornhill::admission
