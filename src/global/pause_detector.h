#pragma once

#include <algorithm>
#include <chrono>

#include "global/units.h"

namespace buckthornhill {
//! Time since the machine started, suspension included.
std::chrono::nanoseconds time_since_boot();

//! Detects that the process was paused. The steady clock does not count the time for which a machine was
//! suspended, so it is compared with a clock that does.
class pause_detector
{
public:
    explicit pause_detector(duration min_pause)
        : min_pause(min_pause)
    {
    }

    //! Call at each tick with the steady time and the time since boot, suspension included. Returns how long
    //! the process was paused since the last call, or zero for gaps shorter than the minimum.
    duration observe(time_point steady, std::chrono::nanoseconds since_boot)
    {
        const bool is_first = this->last_since_boot == std::chrono::nanoseconds{};
        const auto boot_gap = since_boot - this->last_since_boot;
        const auto steady_gap = steady - this->last_steady;
        this->last_since_boot = since_boot;
        this->last_steady = steady;
        const auto gap = std::max<duration>(boot_gap, steady_gap);
        return is_first || gap < this->min_pause ? duration{} : gap;
    }

private:
    duration min_pause;
    time_point last_steady{};
    std::chrono::nanoseconds last_since_boot{};
};
} // namespace buckthornhill
