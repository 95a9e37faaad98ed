#include "capacity/work_reference.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::capacity {
namespace {
constexpr std::uint32_t remembered_samples = 256;
//! With fewer, an odd first response would make all upstreams seem fast or slow.
constexpr std::uint32_t min_samples = 32;
constexpr double min_seconds = 1e-4; //!< shorter times are within the error of measurement
//! Bounds the effect of one unusual response.
constexpr double max_surprise = 1.5;
} // namespace

std::optional<double> work_reference::observe(duration work, bool is_warm, double expected_log_ratio)
{
    auto& known = is_warm ? this->warm : this->cold;
    const double seconds = std::max(min_seconds, std::chrono::duration<double>(work).count());
    const double log_seconds = std::log(seconds);
    if (known.samples == 0) {
        known.log_seconds = log_seconds - expected_log_ratio;
    }
    known.samples = std::min(known.samples + 1, remembered_samples);
    const double ratio = log_seconds - known.log_seconds;
    const double surprise = std::clamp(ratio - expected_log_ratio, -max_surprise, max_surprise);
    known.log_seconds += surprise / known.samples;
    return known.samples < min_samples ? std::nullopt : std::optional(ratio);
}
} // namespace buckthornhill::capacity
