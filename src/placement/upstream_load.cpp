#include "placement/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::placement {
std::string_view to_string(upstream_attempt_result result)
{
    switch (result) {
    case upstream_attempt_result::answered:
        return "answered";
    case upstream_attempt_result::rejected:
        return "rejected";
    case upstream_attempt_result::failed:
        return "failed";
    case upstream_attempt_result::unreachable:
        return "unreachable";
    case upstream_attempt_result::connection_lost:
        return "connection_lost";
    case upstream_attempt_result::timed_out:
        return "timed_out";
    case upstream_attempt_result::cancelled:
        return "cancelled";
    }
    return "unknown";
}

namespace {
constexpr double health_smoothing_factor = 0.2; //!< averages over about the last five responses
constexpr double min_slowness = 0.3;
constexpr double max_slowness = 10.0;
//! Smaller differences come from queues and cold objects; objects would move back and forth and grow cold.
constexpr double min_relevant_slowness = 2.0;
//! Of a rate that an upstream names; the rest is a margin for instances with different views and for delays
//! that bring requests closer together.
constexpr double usable_rate_share = 0.9;
//! A lower stated rate counts as this one, so that its end is noticed.
constexpr double min_stated_rate = 0.2;
//! Part of a pause over which the instances return one after the other.
constexpr double return_spread = 0.25;

double fraction(duration part, duration whole)
{
    return whole.count() == 0 ? 0 : static_cast<double>(part.count()) / static_cast<double>(whole.count());
}
} // namespace

void upstream_load::on_sent(time_point now, std::size_t instances)
{
    ++this->in_flight;
    if (this->stated_rate) {
        this->next_send_at = now + this->send_interval(instances);
    }
}

duration upstream_load::send_interval(std::size_t instances) const
{
    const double own_rate = std::max(*this->stated_rate, min_stated_rate) * usable_rate_share /
                            static_cast<double>(std::max<std::size_t>(1, instances));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / own_rate));
}

bool upstream_load::on_stated_rate(time_point now, std::optional<double> requests_per_second,
                                   std::size_t instances, double phase)
{
    const bool was_limited = this->stated_rate.has_value();
    this->stated_rate = requests_per_second;
    if (!this->stated_rate) {
        this->next_send_at = {};
        return was_limited;
    }
    this->latest_signal_at = now;
    const auto interval = this->send_interval(instances);
    this->next_send_at = was_limited ? std::min(this->next_send_at, now + interval)
                                     : now + std::chrono::duration_cast<duration>(interval * phase);
    return !was_limited;
}

double upstream_load::health_weight(time_point now) const
{
    return std::exp2(-fraction(now - this->health_updated_at, this->configuration->health_half_life));
}

double upstream_load::average_slowness(time_point now) const
{
    return 1 + (this->recent_slowness - 1) * this->health_weight(now);
}

double upstream_load::slowness(time_point now) const
{
    const double average = this->average_slowness(now);
    return average < min_relevant_slowness ? 1 : average;
}

double upstream_load::failure_share(time_point now) const
{
    return this->recent_failure_share * this->health_weight(now);
}

void upstream_load::record_failure(time_point now, bool eject_at_once)
{
    ++this->failures_in_a_row;
    if (!eject_at_once && this->failures_in_a_row < this->configuration->failures_to_eject) {
        return;
    }
    const auto doublings = std::min(this->ejections_in_a_row, 10);
    const duration ejection_time =
        std::min(this->configuration->min_ejection * (1 << doublings), this->configuration->max_ejection);
    ++this->ejections_in_a_row;
    this->ejected_until = now + ejection_time;
}

void upstream_load::on_finished(time_point now, upstream_attempt_result result, duration took, duration usual)
{
    --this->in_flight;
    if (result == upstream_attempt_result::cancelled) {
        return;
    }
    const double current_slowness = this->average_slowness(now);
    const double current_failure_share = this->failure_share(now);
    const bool is_answered = result == upstream_attempt_result::answered;
    this->health_updated_at = now;
    this->recent_failure_share =
        current_failure_share + ((is_answered ? 0.0 : 1.0) - current_failure_share) * health_smoothing_factor;
    this->recent_slowness = current_slowness;
    if (is_answered) {
        const double ratio = std::clamp(fraction(took, usual), min_slowness, max_slowness);
        this->recent_slowness = current_slowness + (ratio - current_slowness) * health_smoothing_factor;
        this->failures_in_a_row = 0;
        this->ejections_in_a_row = 0;
        this->at_capacity_until = {};
        this->has_paused = false;
        return;
    }
    if (result == upstream_attempt_result::rejected) {
        this->at_capacity_until = now + this->configuration->at_capacity_duration;
    } else if (result == upstream_attempt_result::unreachable) {
        this->record_failure(now, true);
    } else if (result == upstream_attempt_result::connection_lost ||
               result == upstream_attempt_result::timed_out) {
        this->record_failure(now, false);
    }
}

bool upstream_load::on_pause(time_point now, duration pause, double phase)
{
    const duration bounded = std::min<duration>(pause, this->configuration->max_pause);
    const auto spread = std::chrono::duration_cast<duration>(bounded * (phase * return_spread));
    const bool begins = now >= this->paused_until;
    this->paused_until = std::max(this->paused_until, now + bounded + spread);
    this->latest_signal_at = now;
    this->has_paused = true;
    return begins;
}

void upstream_load::on_report(time_point now, const load_report& report)
{
    const auto requests = report.running + report.waiting;
    //! NOTE A faulty upstream may reject requests although it has free slots; it can take the next one.
    if (requests < report.slots) {
        this->at_capacity_until = {};
    }
    this->other_requests = std::max<double>(0, static_cast<double>(requests - this->in_flight));
    this->reported_at = now;
}

double upstream_load::estimated_requests(time_point now) const
{
    const auto age = now - this->reported_at;
    const auto& full_weight_age = this->configuration->report_full_weight_age;
    const auto& max_age = this->configuration->report_max_age;
    const double weight =
        1 - std::clamp(fraction(age - full_weight_age, max_age - full_weight_age), 0.0, 1.0);
    return static_cast<double>(this->in_flight) + this->other_requests * weight;
}

std::optional<double> upstream_load::recently_reported_requests(time_point now) const
{
    const bool is_recent =
        this->reported_at != time_point{} && now - this->reported_at < this->configuration->report_max_age;
    return is_recent ? std::optional(this->estimated_requests(now)) : std::nullopt;
}

capacity::capacity_estimate upstream_load::capacity(time_point now, slot_count slots) const
{
    if (this->learned && this->learned->stated_slots() == slots) {
        return this->learned->estimate(now);
    }
    return {static_cast<double>(slots.value()), 1, 0};
}

capacity::upstream_capacity& upstream_load::learned_capacity(slot_count slots)
{
    if (!this->learned || this->learned->stated_slots() != slots) {
        this->learned.emplace(slots);
        this->noted_capacity = this->learned->estimate({});
    }
    return *this->learned;
}

bool upstream_load::note_capacity_change(time_point now)
{
    if (!this->learned || now < this->next_capacity_note_at) {
        return false;
    }
    constexpr double noted_change = 0.25;
    const auto known = this->learned->estimate(now);
    const auto differs = [](double value, double noted) {
        return std::abs(value - noted) >= noted_change * noted;
    };
    if (!differs(known.limit, this->noted_capacity.limit) &&
        !differs(known.speed, this->noted_capacity.speed)) {
        return false;
    }
    this->noted_capacity = known;
    this->next_capacity_note_at = now + this->configuration->capacity_note_interval;
    return true;
}

bool upstream_load::is_ejected(time_point now) const
{
    if (now < this->ejected_until) {
        return true;
    }
    //! NOTE After an ejection ends, requests are sent one at a time until one is answered, to probe whether
    //! the upstream has recovered.
    return this->ejections_in_a_row > 0 && this->in_flight > 0;
}

void upstream_load::record_object(object_hash object)
{
    const auto known = this->recent_object_positions.find(object);
    if (known != this->recent_object_positions.end()) {
        this->recent_objects.splice(this->recent_objects.begin(), this->recent_objects, known->second);
        return;
    }
    if (this->recent_objects.size() >= this->configuration->max_remembered_objects) {
        this->recent_object_positions.erase(this->recent_objects.back());
        this->recent_objects.pop_back();
    }
    this->recent_objects.push_front(object);
    this->recent_object_positions.emplace(object, this->recent_objects.begin());
}
} // namespace buckthornhill::placement
