#pragma once

#include <cmath>
#include <cstdint>

#include "global/units.h"

namespace buckthornhill::admission {
//! Time-weighted mean of a level that changes in steps, with exponential forgetting.
class smoothed_level
{
public:
    explicit smoothed_level(duration forgetting_time)
        : forgetting(forgetting_time)
    {
    }

    void observe(time_point now, std::int64_t level)
    {
        this->advance(now);
        this->current = level;
    }

    double value(time_point now)
    {
        this->advance(now);
        return this->mean;
    }

private:
    void advance(time_point now)
    {
        if (this->last_change != time_point{} && now > this->last_change) {
            const auto elapsed = std::chrono::duration<double>(now - this->last_change);
            const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(this->forgetting));
            this->mean += weight * (static_cast<double>(this->current) - this->mean);
        }
        this->last_change = now;
    }

    duration forgetting;
    time_point last_change{};
    std::int64_t current = 0;
    double mean = 0;
};
} // namespace buckthornhill::admission
