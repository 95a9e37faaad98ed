#include "placement/smoothed_demand.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::placement {
namespace {
//! An object of one request a second is then known to about a fifth, and the plan follows waves of demand
//! that last minutes, not those of seconds.
constexpr double averaging_time_s = 30;
//! For so long the usual demand of an object outweighs its own requests, since the first one or two of them
//! say little.
constexpr double evidence_time_s = 4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}
} // namespace

double smoothed_demand::weighted_work_s(time_point now) const
{
    const double elapsed_s = std::max(0.0, seconds(now - this->updated_at));
    return this->work_s * std::exp(-elapsed_s / averaging_time_s);
}

double smoothed_demand::weighted_time_s(time_point now) const
{
    const double elapsed_s = std::max(0.0, seconds(now - this->updated_at));
    const double kept = std::exp(-elapsed_s / averaging_time_s);
    return this->time_s * kept + averaging_time_s * (1 - kept);
}

void smoothed_demand::add(time_point now, duration work)
{
    this->work_s = this->weighted_work_s(now) + seconds(work);
    this->time_s = this->weighted_time_s(now);
    this->updated_at = std::max(this->updated_at, now);
}

double smoothed_demand::slots(time_point now, double usual) const
{
    return (this->weighted_work_s(now) + usual * evidence_time_s) /
           (this->weighted_time_s(now) + evidence_time_s);
}
} // namespace buckthornhill::placement
