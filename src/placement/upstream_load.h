#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "capacity/upstream_capacity.h"
#include "placement/placement_types.h"

namespace buckthornhill::placement {
//! State that one instance keeps for one upstream: its load, its health and the objects it handled lately.
class upstream_load
{
public:
    upstream_load(const placement_configuration& configuration, std::uint64_t started_at_ms)
        : configuration(&configuration)
        , started_at_ms(started_at_ms)
    {
    }

    //! `instances` share a limit that the upstream named.
    void on_sent(time_point now, std::size_t instances);
    //! `took` is the time until the response, `usual` the one expected of an upstream that is not slow.
    void on_finished(time_point now, upstream_attempt_result result, duration took, duration usual);
    void on_report(time_point now, const load_report& report);
    //! The upstream named this limit in its latest response, or none. `phase`, from 0 to 1, distinguishes the
    //! instances, so that their next requests do not coincide. Returns whether a limit began or ended.
    bool on_stated_rate(time_point now, std::optional<double> requests_per_second, std::size_t instances,
                        double phase);
    void record_object(object_hash object);
    bool handled_recently(object_hash object) const { return this->recent_object_positions.contains(object); }

    //! Requests of all instances that run or wait at the upstream, estimated from its last load report.
    double estimated_requests(time_point now) const;
    //! As above; empty when the last load report has no weight any more.
    std::optional<double> recently_reported_requests(time_point now) const;
    std::int64_t own_in_flight() const { return this->in_flight; }
    //! Limit and speed to be assumed: the slots and 1 unless something else was learned.
    capacity::capacity_estimate capacity(time_point now, slot_count slots) const;
    //! The model to be given samples; it starts again when the slots have changed.
    capacity::upstream_capacity& learned_capacity(slot_count slots);
    //! Empty when nothing was learned.
    std::optional<capacity::capacity_estimate> learned_estimate(time_point now) const
    {
        return this->learned ? std::optional(this->learned->estimate(now)) : std::nullopt;
    }
    //! Returns whether limit or speed differ by a quarter from those noted before, and notes them then, no
    //! more often than the configured interval.
    bool note_capacity_change(time_point now);
    bool is_ejected(time_point now) const;
    //! The upstream rejected a request, and has neither answered one nor reported a free slot since.
    bool is_at_capacity(time_point now) const { return now < this->at_capacity_until; }
    //! The upstream takes nothing from this instance for `pause`; `phase` as above spreads the return of the
    //! instances. Returns whether the pause begins.
    bool on_pause(time_point now, duration pause, double phase);
    //! How long this instance has to wait before it may send the next request: for the end of a pause, or for
    //! its part of the limit that the upstream named.
    duration time_until_send(time_point now) const
    {
        return std::max(duration{}, std::max(this->next_send_at, this->paused_until) - now);
    }
    //! After a pause, requests are sent one at a time until one is answered.
    bool is_returning() const { return this->has_paused && this->in_flight > 0; }
    //! Moving average of measured time divided by expected time; 1 unless the upstream is clearly slow.
    double slowness(time_point now) const;
    //! Moving average of the share of requests that did not succeed.
    double failure_share(time_point now) const;
    //! When the upstream last named a pause or a limit that may still hold.
    time_point signalled_at() const { return this->latest_signal_at; }
    std::uint64_t run_started_at_ms() const { return this->started_at_ms; }

private:
    //! Weight of the stored health averages; it halves with each `health_half_life`.
    double health_weight(time_point now) const;
    double average_slowness(time_point now) const;
    void record_failure(time_point now, bool eject_at_once);
    //! Time between two requests of this instance that uses its equal part of the stated rate.
    duration send_interval(std::size_t instances) const;

    const placement_configuration* configuration;
    std::uint64_t started_at_ms;
    std::int64_t in_flight = 0;
    double other_requests = 0; //!< requests of other instances at the last report
    time_point reported_at{};
    double recent_slowness = 1;
    double recent_failure_share = 0;
    time_point health_updated_at{};
    int failures_in_a_row = 0;
    int ejections_in_a_row = 0;
    time_point ejected_until{};
    time_point at_capacity_until{};
    std::optional<capacity::upstream_capacity> learned;
    capacity::capacity_estimate noted_capacity;
    time_point next_capacity_note_at{};
    std::optional<double> stated_rate; //!< requests per second, from all instances together
    time_point next_send_at{};         //!< earliest, by the stated rate
    time_point paused_until{};
    time_point latest_signal_at{};
    bool has_paused = false;               //!< and has not answered a request since
    std::list<object_hash> recent_objects; //!< most recent first
    std::unordered_map<object_hash, std::list<object_hash>::iterator> recent_object_positions;
};
} // namespace buckthornhill::placement
