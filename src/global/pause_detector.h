#pragma once

#include <algorithm>
#include <chrono>

#include "global/units.h"

namespace buckthornhill {
//! Time since the machine started, suspension included.
std::chrono::nanoseconds time_since_boot();

//! Notices that the process stood still. The steady clock does not count the time for which a machine was
//! suspended, so it is compared with one that does.
class pause_detector
{
public:
    explicit pause_detector(duration shortest)
        : shortest(shortest)
    {
    }

    //! Call at each tick with the steady time and the time since boot, suspension included. Returns how long
    //! the process stood still since the last call, or zero when that was shorter than what counts.
    duration observe(time_point steady, std::chrono::nanoseconds since_boot)
    {
        const bool is_first = this->last_boot == std::chrono::nanoseconds{};
        const auto boot_gap = since_boot - this->last_boot;
        const auto steady_gap = steady - this->last_steady;
        this->last_boot = since_boot;
        this->last_steady = steady;
        const auto gap = std::max<duration>(boot_gap, steady_gap);
        return is_first || gap < this->shortest ? duration{} : gap;
    }

private:
    duration shortest;
    time_point last_steady{};
    std::chrono::nanoseconds last_boot{};
};
} // namespace buckthornhill
