#pragma once

#include <algorithm>
#include <cstdint>

#include "global/units.h"

namespace buckthornhill::admission {
//! Highest value observed during roughly the last time window, tracked in two buckets.
class recent_peak
{
public:
    explicit recent_peak(duration length)
        : window(length)
    {
    }

    void observe(time_point now, std::int64_t value)
    {
        this->rotate_buckets(now);
        this->current = std::max(this->current, value);
    }

    std::int64_t value(time_point now)
    {
        this->rotate_buckets(now);
        return std::max(this->current, this->previous);
    }

private:
    void rotate_buckets(time_point now)
    {
        const auto age = now - this->bucket_start;
        if (age < this->window) {
            return;
        }
        this->previous = age < 2 * this->window ? this->current : 0;
        this->current = 0;
        this->bucket_start = now;
    }

    duration window;
    time_point bucket_start{};
    std::int64_t current = 0;
    std::int64_t previous = 0;
};
} // namespace buckthornhill::admission
