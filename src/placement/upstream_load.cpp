#include "placement/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::placement {
namespace {
constexpr double judging_rate = 0.2; //!< about the last five answers count
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 10.0;

double fraction(duration part, duration whole)
{
    return whole.count() == 0 ? 0 : static_cast<double>(part.count()) / static_cast<double>(whole.count());
}
} // namespace

void upstream_load::on_sent()
{
    ++this->in_flight;
}

double upstream_load::remaining(time_point now) const
{
    return std::exp2(-fraction(now - this->judged_at, this->configuration->health_memory));
}

double upstream_load::slowness(time_point now) const
{
    return 1 + (this->slow_factor - 1) * this->remaining(now);
}

double upstream_load::failure_share(time_point now) const
{
    return this->failing * this->remaining(now);
}

void upstream_load::note_failure(time_point now, bool eject_now)
{
    ++this->failures_in_a_row;
    if (!eject_now && this->failures_in_a_row < this->configuration->failures_to_eject) {
        return;
    }
    const auto doublings = std::min(this->ejections_in_a_row, 10);
    const duration time =
        std::min(this->configuration->min_ejection * (1 << doublings), this->configuration->max_ejection);
    ++this->ejections_in_a_row;
    this->ejected_until = now + time;
}

void upstream_load::on_finished(time_point now, send_result result, duration took, duration expected)
{
    --this->in_flight;
    if (result == send_result::withdrawn) {
        return;
    }
    const double slow_now = this->slowness(now);
    const double failing_now = this->failure_share(now);
    const bool is_answer = result == send_result::answered;
    this->judged_at = now;
    this->failing = failing_now + ((is_answer ? 0.0 : 1.0) - failing_now) * judging_rate;
    this->slow_factor = slow_now;
    if (is_answer) {
        const double ratio = std::clamp(fraction(took, expected), least_slowness, most_slowness);
        this->slow_factor = slow_now + (ratio - slow_now) * judging_rate;
        this->failures_in_a_row = 0;
        this->ejections_in_a_row = 0;
        this->full_until = {};
        return;
    }
    if (result == send_result::rejected) {
        this->full_until = now + this->configuration->full_memory;
    } else if (result == send_result::unreachable) {
        this->note_failure(now, true);
    } else if (result == send_result::broken || result == send_result::silent) {
        this->note_failure(now, false);
    }
}

void upstream_load::on_report(time_point now, std::int64_t running, std::int64_t waiting)
{
    this->others = std::max<double>(0, static_cast<double>(running + waiting - this->in_flight));
    this->reported_at = now;
}

double upstream_load::estimate(time_point now) const
{
    const auto age = now - this->reported_at;
    const auto& fresh = this->configuration->report_fresh;
    const auto& stale = this->configuration->report_stale;
    const double weight = 1 - std::clamp(fraction(age - fresh, stale - fresh), 0.0, 1.0);
    return static_cast<double>(this->in_flight) + this->others * weight;
}

bool upstream_load::is_ejected(time_point now) const
{
    if (now < this->ejected_until) {
        return true;
    }
    //! NOTE After an ejection one request at a time finds out whether the upstream is back.
    return this->ejections_in_a_row > 0 && this->in_flight > 0;
}

void upstream_load::remember(object_hash object)
{
    const auto known = this->known_objects.find(object);
    if (known != this->known_objects.end()) {
        this->recent_objects.splice(this->recent_objects.begin(), this->recent_objects, known->second);
        return;
    }
    if (this->recent_objects.size() >= this->configuration->objects_remembered) {
        this->known_objects.erase(this->recent_objects.back());
        this->recent_objects.pop_back();
    }
    this->recent_objects.push_front(object);
    this->known_objects.emplace(object, this->recent_objects.begin());
}
} // namespace buckthornhill::placement
