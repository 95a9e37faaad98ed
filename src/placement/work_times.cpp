#include "placement/work_times.h"

#include <algorithm>

namespace buckthornhill::placement {
namespace {
constexpr double smoothing_factor = 0.1;    //!< averages over about the last ten responses
constexpr double initial_warm_factor = 0.5; //!< times the objective
constexpr double initial_cold_factor = 1.5;
constexpr double min_cold_factor = 1.5;        //!< times the warm time; a shorter response counts as warm
constexpr double max_observation_factor = 3.0; //!< times the average; bounds the effect of one slow response

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

duration smoothed(duration known, duration observed)
{
    const auto bounded = std::min(observed, scaled(known, max_observation_factor));
    return known + scaled(bounded - known, smoothing_factor);
}
} // namespace

work_times::work_times(std::chrono::milliseconds objective)
    : warm_time(scaled(objective, initial_warm_factor))
    , cold_time(scaled(objective, initial_cold_factor))
{
}

void work_times::observe(duration took, bool expected_warm)
{
    //! NOTE An object that this instance has not sent to the upstream may be warm there through another
    //! instance.
    const bool is_cold = !expected_warm && took > scaled(this->warm_time, min_cold_factor);
    if (is_cold) {
        this->cold_time = smoothed(this->cold_time, took);
    } else {
        this->warm_time = smoothed(this->warm_time, took);
    }
    this->cold_time = std::max(this->cold_time, this->warm_time);
}
} // namespace buckthornhill::placement
