#include "steering/owner_selector.h"

#include <algorithm>

namespace buckthornhill::steering {
namespace {
constexpr double shift_end_fraction = 0.5; //!< of the wait that starts a shift
constexpr std::int64_t min_wanted_credits = 1;
} // namespace

owner_selector::owner_selector(instance_id own_id, place where, const steering_configuration& settings,
                               random_hook source)
    : self(std::move(own_id))
    , own_place(std::move(where))
    , configuration(settings)
    , random(std::move(source))
{
}

void owner_selector::on_report(time_point now, const instance_id& owner, const place& where,
                               const admission::service_report& report, std::int64_t credits)
{
    auto& state = this->services[report.service].owners[owner];
    state.where = where;
    state.report = report;
    state.reported_at = now;
    state.credits = credits;
    state.outstanding_at_report = state.outstanding;
    state.is_full = false;
}

void owner_selector::on_response_report(time_point now, const instance_id& owner,
                                        const admission::service_report& report)
{
    const auto service = this->services.find(report.service);
    if (service == this->services.end() || !service->second.owners.contains(owner)) {
        return;
    }
    const auto& known = service->second.owners.at(owner);
    this->on_report(now, owner, known.where, report, known.credits);
}

void owner_selector::remove_owner(const instance_id& owner)
{
    for (auto& [service, state] : this->services) {
        state.owners.erase(owner);
    }
}

void owner_selector::on_sent(const instance_id& owner, const service_id& service)
{
    ++this->services[service].owners[owner].outstanding;
}

void owner_selector::on_returned(const instance_id& owner, const service_id& service)
{
    auto& owners = this->services[service].owners;
    const auto found = owners.find(owner);
    if (found != owners.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

void owner_selector::on_refused(const instance_id& owner, const service_id& service)
{
    auto& owners = this->services[service].owners;
    const auto found = owners.find(owner);
    if (found != owners.end()) {
        found->second.is_full = true;
    }
}

bool owner_selector::is_fresh(time_point now, const owner_state& owner) const
{
    return now - owner.reported_at <= this->configuration.report_lifetime;
}

duration owner_selector::distance_to(const instance_id& id, const owner_state& owner) const
{
    if (id == this->self || owner.where.domain == this->own_place.domain) {
        return {};
    }
    const auto one_way =
        this->is_local(owner) ? this->configuration.domain_distance : this->configuration.region_distance;
    return 2 * one_way;
}

std::int64_t owner_selector::in_use(const owner_state& owner) const
{
    //! NOTE The report does not include the requests that this instance has sent since.
    return owner.report.in_flight + owner.outstanding - owner.outstanding_at_report;
}

bool owner_selector::has_room(const owner_state& owner) const
{
    return !owner.is_full && owner.report.queued == 0 && this->in_use(owner) < owner.report.limit;
}

duration owner_selector::wait_at(const owner_state& owner) const
{
    const auto limit = std::max<std::int64_t>(1, owner.report.limit);
    auto excess = this->in_use(owner) + owner.report.queued + 1 - limit;
    if (owner.is_full) {
        excess = std::max<std::int64_t>(excess, owner.report.queued + 1);
    }
    return std::chrono::microseconds(std::max<std::int64_t>(0, excess) * owner.report.mean_service_us /
                                     limit);
}

duration owner_selector::local_wait(time_point now, const service_state& service) const
{
    auto shortest = duration::max();
    for (const auto& [id, owner] : service.owners) {
        if (this->is_local(owner) && this->is_fresh(now, owner) && owner.report.limit > 0) {
            shortest = std::min(shortest, this->wait_at(owner));
        }
    }
    return shortest;
}

double owner_selector::local_utilization(const service_state& service) const
{
    std::int64_t used = 0;
    std::int64_t limit = 0;
    for (const auto& [id, owner] : service.owners) {
        if (this->is_local(owner)) {
            used += this->in_use(owner) + owner.report.queued;
            limit += owner.report.limit;
        }
    }
    return limit > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 1.0;
}

void owner_selector::update_shift(time_point now, service_state& service) const
{
    const duration remote_distance = 2 * this->configuration.region_distance;
    const auto wait = this->local_wait(now, service);
    const bool uses_headroom_policy = this->configuration.policy == steering_policy::headroom;
    const bool is_busy =
        uses_headroom_policy && this->local_utilization(service) >= this->configuration.busy_fraction;
    const bool needs_shift = is_busy || wait > remote_distance;
    const bool is_load_low = !is_busy && wait != duration::max() &&
                             std::chrono::duration<double>(wait) <=
                                 shift_end_fraction * std::chrono::duration<double>(remote_distance);
    if (!service.is_shifting && needs_shift) {
        service.is_shifting = true;
        service.shift_changed_at = now;
        return;
    }
    //! NOTE Hysteresis: a shift ends at a lower wait than it starts at, and only after a minimum duration.
    const bool is_within_min_duration =
        now - service.shift_changed_at < this->configuration.min_shift_duration;
    if (service.is_shifting && is_load_low && !is_within_min_duration) {
        service.is_shifting = false;
        service.shift_changed_at = now;
    }
}

const instance_id* owner_selector::pick_weighted(
    const std::vector<std::pair<const instance_id*, std::int64_t>>& candidates) const
{
    std::int64_t total = 0;
    for (const auto& [id, weight] : candidates) {
        total += weight;
    }
    auto remaining = static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(total));
    for (const auto& [id, weight] : candidates) {
        remaining -= weight;
        if (remaining < 0) {
            return id;
        }
    }
    return candidates.back().first;
}

const instance_id* owner_selector::best_local(time_point now, const service_state& service,
                                              const instance_id& preferred,
                                              const std::set<instance_id>& tried) const
{
    std::vector<std::pair<const instance_id*, std::int64_t>> candidates;
    for (const auto& [id, owner] : service.owners) {
        const bool is_usable = this->is_local(owner) && owner.report.limit > 0 && this->is_fresh(now, owner);
        if (!is_usable || tried.contains(id)) {
            continue;
        }
        if (id == preferred && this->has_room(owner)) {
            return &id;
        }
        candidates.emplace_back(&id, owner.report.limit);
    }
    if (candidates.empty()) {
        return nullptr;
    }
    //! NOTE Power of two choices: the reports are delayed, so if every instance chose the best owner, it
    //! would be overloaded.
    const auto* first = this->pick_weighted(candidates);
    const auto* second = this->pick_weighted(candidates);
    return this->cost_of(*second, service.owners.at(*second)) <
                   this->cost_of(*first, service.owners.at(*first))
               ? second
               : first;
}

duration owner_selector::cost_of(const instance_id& id, const owner_state& owner) const
{
    //! NOTE Below its limit the cost of an owner grows with its load, so that load is balanced before
    //! requests have to wait.
    const auto load = static_cast<double>(this->in_use(owner)) / static_cast<double>(owner.report.limit);
    const std::chrono::duration<double, std::micro> mean(static_cast<double>(owner.report.mean_service_us));
    return this->wait_at(owner) + this->distance_to(id, owner) +
           std::chrono::duration_cast<duration>(mean * load);
}

const instance_id* owner_selector::best_remote(time_point now, const service_state& service,
                                               const std::set<instance_id>& tried) const
{
    const instance_id* best = nullptr;
    std::int64_t best_unused_credits = 0;
    for (const auto& [id, owner] : service.owners) {
        if (this->is_local(owner) || tried.contains(id) || !this->is_fresh(now, owner) || owner.is_full) {
            continue;
        }
        const auto unused_credits = owner.credits - owner.outstanding;
        if (unused_credits > best_unused_credits) {
            best = &id;
            best_unused_credits = unused_credits;
        }
    }
    return best;
}

bool owner_selector::prefers_remote(const service_state& service, const instance_id& local,
                                    const std::set<instance_id>& tried) const
{
    if (!service.is_shifting) {
        return false;
    }
    //! NOTE After one refusal from another region the remaining attempts go to this region.
    const bool was_refused = std::any_of(tried.begin(), tried.end(), [&](const instance_id& id) {
        const auto owner = service.owners.find(id);
        return owner != service.owners.end() && !this->is_local(owner->second);
    });
    const bool keeps_headroom = this->configuration.policy == steering_policy::headroom;
    return !was_refused && (keeps_headroom || !this->has_room(service.owners.at(local)));
}

steering_choice owner_selector::choose(time_point now, const service_id& service,
                                       const instance_id& preferred, const std::set<instance_id>& tried)
{
    auto& state = this->services[service];
    this->update_shift(now, state);
    const auto* local = this->best_local(now, state, preferred, tried);
    if (local != nullptr && !this->prefers_remote(state, *local, tried)) {
        return {*local, false};
    }
    if (const auto* remote = this->best_remote(now, state, tried)) {
        return {*remote, true};
    }
    return local == nullptr ? steering_choice{} : steering_choice{*local, false};
}

std::int64_t owner_selector::wanted_credits(time_point now, const service_id& service)
{
    auto& state = this->services[service];
    this->update_shift(now, state);
    if (!state.is_shifting) {
        return 0;
    }
    std::int64_t own_outstanding = 0;
    for (const auto& [id, owner] : state.owners) {
        own_outstanding += owner.outstanding;
    }
    return std::max(min_wanted_credits, own_outstanding);
}

duration owner_selector::expected_response_time(const instance_id& owner, const service_id& service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.owners.contains(owner)) {
        return {};
    }
    const auto& state = found->second.owners.at(owner);
    const std::chrono::microseconds mean(state.report.mean_service_us);
    if (mean.count() == 0) {
        return {};
    }
    return this->wait_at(state) + mean + this->distance_to(owner, state);
}

bool owner_selector::is_shifting(const service_id& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.is_shifting;
}
} // namespace buckthornhill::steering
