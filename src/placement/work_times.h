#pragma once

#include <chrono>

#include "global/units.h"

namespace buckthornhill::placement {
//! How long upstreams work on the requests of one route, for objects handled lately and for others.
class work_times
{
public:
    //! Until something was measured the objective stands for both, with a warm object faster.
    explicit work_times(std::chrono::milliseconds objective);

    duration warm() const { return this->warm_time; }
    duration cold() const { return this->cold_time; }
    void observe(duration took, bool expected_warm);

private:
    duration warm_time;
    duration cold_time;
};
} // namespace buckthornhill::placement
