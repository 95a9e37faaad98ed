#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "global/units.h"

namespace buckthornhill::http {
//! When the bytes in a buffer arrived, from the oldest on.
class arrival_times
{
public:
    void on_read(std::size_t size, time_point now)
    {
        if (size > 0) {
            this->parts.emplace_back(size, now);
        }
    }
    void on_consumed(std::size_t size)
    {
        while (size > 0 && !this->parts.empty()) {
            auto& [left, arrived_at] = this->parts.front();
            const auto taken = std::min(size, left);
            size -= taken;
            left -= taken;
            if (left == 0) {
                this->parts.pop_front();
            }
        }
    }
    //! Of the first byte; `fallback` when there is none.
    time_point oldest(time_point fallback) const
    {
        return this->parts.empty() ? fallback : this->parts.front().second;
    }
    void clear() { this->parts.clear(); }

private:
    std::deque<std::pair<std::size_t, time_point>> parts;
};
} // namespace buckthornhill::http
