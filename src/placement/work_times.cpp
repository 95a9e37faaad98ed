#include "placement/work_times.h"

#include <algorithm>

namespace buckthornhill::placement {
namespace {
constexpr double learning_rate = 0.1; //!< about the last ten answers count
constexpr double warm_guess = 0.5;    //!< of the objective
constexpr double cold_guess = 1.5;
constexpr double clearly_cold = 1.5; //!< times the warm time
constexpr double max_step = 3.0;     //!< one slow answer counts as at most so many times the known time

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

duration blend(duration known, duration seen)
{
    const auto bounded = std::min(seen, scaled(known, max_step));
    return known + scaled(bounded - known, learning_rate);
}
} // namespace

work_times::work_times(std::chrono::milliseconds objective)
    : warm_time(scaled(objective, warm_guess))
    , cold_time(scaled(objective, cold_guess))
{
}

void work_times::observe(duration took, bool believed_warm)
{
    //! NOTE An object that is new here may be warm because another instance sent it.
    const bool is_cold = !believed_warm && took > scaled(this->warm_time, clearly_cold);
    if (is_cold) {
        this->cold_time = blend(this->cold_time, took);
    } else {
        this->warm_time = blend(this->warm_time, took);
    }
    this->cold_time = std::max(this->cold_time, this->warm_time);
}
} // namespace buckthornhill::placement
