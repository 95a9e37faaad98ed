#pragma once

#include <chrono>

#include "global/units.h"

namespace buckthornhill::placement {
//! Average work times of upstreams on the requests of one route: for objects that the upstream handled lately
//! (warm) and for others (cold).
class work_times
{
public:
    //! Until times are measured, both are derived from the latency objective, the warm one shorter.
    explicit work_times(std::chrono::milliseconds objective);

    duration warm() const { return this->warm_time; }
    duration cold() const { return this->cold_time; }
    void observe(duration took, bool expected_warm);

private:
    duration warm_time;
    duration cold_time;
};
} // namespace buckthornhill::placement
