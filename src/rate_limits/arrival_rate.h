#pragma once

#include <cmath>

#include "global/units.h"

namespace buckthornhill::rate_limits {
//! Average rate of arrivals, in which older ones count less.
class arrival_rate
{
public:
    void on_arrival(time_point now)
    {
        this->per_second = this->value(now) + 1 / time_constant.count();
        this->updated_at = now;
    }
    double value(time_point now) const
    {
        const std::chrono::duration<double> passed = now - this->updated_at;
        return this->per_second * std::exp(-passed / time_constant);
    }

private:
    //! Long enough for a flow of a few requests per second, short enough to follow bursts of some seconds.
    static constexpr std::chrono::duration<double> time_constant{2.0};

    double per_second = 0;
    time_point updated_at{};
};
} // namespace buckthornhill::rate_limits
