#pragma once

#include <cmath>
#include <cstdint>

#include "global/units.h"

namespace buckthornhill::admission {
//! Time-weighted exponential moving average of a value that changes in steps.
class smoothed_level
{
public:
    explicit smoothed_level(duration averaging_time)
        : time_constant(averaging_time)
    {
    }

    void observe(time_point now, std::int64_t level)
    {
        this->advance(now);
        this->current_level = level;
    }

    double value(time_point now)
    {
        this->advance(now);
        return this->mean;
    }

private:
    void advance(time_point now)
    {
        if (this->last_update != time_point{} && now > this->last_update) {
            const auto elapsed = std::chrono::duration<double>(now - this->last_update);
            const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(this->time_constant));
            this->mean += weight * (static_cast<double>(this->current_level) - this->mean);
        }
        this->last_update = now;
    }

    duration time_constant;
    time_point last_update{};
    std::int64_t current_level = 0;
    double mean = 0;
};
} // namespace buckthornhill::admission
