#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "global/strong_number.h"

//! Units that several modules share.
namespace buckthornhill {
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using clock_hook = std::function<time_point()>;
//! Returns a uniformly distributed number on each call.
using random_hook = std::function<std::uint64_t()>;

using slot_count = strong_number<struct slot_count_tag, std::int64_t>; //!< requests an upstream runs at once
using byte_count = strong_number<struct byte_count_tag, std::uint64_t>;

inline std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}
} // namespace buckthornhill
