#include "store/collection_watcher_configuration.h"

#include <algorithm>

namespace buckthornhill::store {
namespace {
//! Of the bound within which a change must be in force: what instances that depend on another one need to
//! notice that it has lost contact and to call the store themselves.
constexpr std::chrono::milliseconds dependents_reaction_time{450};
//! Of the age of a confirmation: delays of a slow machine or a slow store.
constexpr std::chrono::milliseconds confirmation_delay{550};
constexpr std::chrono::milliseconds min_poll_duration{40};
//! Parts of the bound on confirmations that a long poll takes. Twice the poll and a pause stay below 0.7 of
//! it at the instance itself, and below 0.8 at those that follow it and call every 0.7 s.
constexpr double confirming_poll_part = 0.3;
constexpr double confirming_poll_part_with_dependents = 0.2;
//! From a call until its response is in force, on a slow machine.
constexpr std::chrono::milliseconds next_call_time{400};
//! From a decision to send a request until it has reached an upstream in another region.
constexpr std::chrono::milliseconds request_transit_time{200};
} // namespace

std::chrono::milliseconds collection_watcher_configuration::max_confirmation_age(collection which) const
{
    const auto bound = this->change_bounds.find(which);
    return bound == this->change_bounds.end() ? this->instances_interval
                                              : bound->second - dependents_reaction_time;
}

std::chrono::milliseconds collection_watcher_configuration::shortest_expiring_outage() const
{
    return (this->renewals_until_expiry - 1) * this->renewal_interval;
}

time_point collection_watcher_configuration::lapse_deadline(time_point failed_call, time_point contact) const
{
    return std::min(contact + this->lapse_grace, failed_call + this->recovery_bound - request_transit_time);
}

std::chrono::milliseconds collection_watcher_configuration::poll_duration(collection which) const
{
    const auto bound = this->change_bounds.find(which);
    const auto latest = bound == this->change_bounds.end() ? this->recovery_bound
                                                           : std::max(this->recovery_bound, bound->second);
    const auto longest =
        std::max(min_poll_duration, latest - this->poll_timeout - 2 * this->min_backoff - next_call_time);
    return this->within_confirmation_bound(which, longest, confirming_poll_part);
}

std::chrono::milliseconds collection_watcher_configuration::within_confirmation_bound(
    collection which, std::chrono::milliseconds duration, double part) const
{
    if (which != collection::configuration || !this->confirmation_bound) {
        return duration;
    }
    const auto confirming =
        std::chrono::duration_cast<std::chrono::milliseconds>(*this->confirmation_bound * part);
    return std::clamp(confirming, min_poll_duration, duration);
}

std::chrono::milliseconds
collection_watcher_configuration::poll_duration_with_dependents(collection which,
                                                                std::chrono::milliseconds age) const
{
    const auto within_age = this->max_confirmation_age(which) -
                            std::max(this->max_pause_with_dependents, age) - confirmation_delay;
    return this->within_confirmation_bound(
        which, std::clamp(within_age, min_poll_duration, this->poll_duration(which)),
        confirming_poll_part_with_dependents);
}

reconciliation_configuration collection_watcher_configuration::reconciliation() const
{
    reconciliation_configuration limits;
    limits.absence_limit =
        std::max(this->renewals_until_expiry * this->renewal_interval, this->recovery_bound);
    std::chrono::milliseconds longest_poll{0};
    for (const auto which : all_collections) {
        longest_poll = std::max(longest_poll, this->poll_duration(which));
    }
    limits.max_confirmation_gap = longest_poll + this->max_pause + next_call_time;
    return limits;
}
} // namespace buckthornhill::store
