#include "rate_limits/loan_sizing.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::rate_limits {
namespace {
//! Asks of a busy account come some ten milliseconds apart; what the rate brings in between must not
//! overflow.
constexpr std::chrono::duration<double> min_bucket_time{0.1};
//! A request reaches the upstream this much after its token was checked: a round trip between regions, a
//! connect and an upload on a slow link.
constexpr std::chrono::milliseconds send_margin{150};
//! A shorter loan would expire before its answer arrives, which is up to 30 ms on its way.
constexpr std::chrono::milliseconds min_loan_lifetime{60};
//! Part of a loan's lifetime after which it is renewed; see `limit_borrower`.
constexpr double covered_part = 0.75;
//! Tokens expected for a slower flow are more often wasted than used.
constexpr double min_expected = 1;
constexpr double expected_part_of_level = 0.25;
} // namespace

double bucket_size(const account_limit& limit)
{
    return std::max({limit.burst, limit.requests_per_second * min_bucket_time.count(), 1.0});
}

std::chrono::milliseconds loan_lifetime(const account_limit& limit, const limit_bounds& bounds)
{
    const std::chrono::duration<double> window = bounds.window;
    const double allowed = limit.requests_per_second * window.count() + limit.burst;
    const double excess = bounds.overrun * allowed + bounds.slack - (bucket_size(limit) - limit.burst);
    const double seconds = std::clamp(excess / limit.requests_per_second, 0.0, 3600.0);
    const auto longest = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    return std::clamp(longest - send_margin, min_loan_lifetime, max_loan_lifetime);
}

std::int64_t expected_need(double arrivals_per_second, std::chrono::milliseconds lifetime)
{
    const double need = arrivals_per_second * std::chrono::duration<double>(lifetime).count() * covered_part;
    return need < min_expected ? 0 : static_cast<std::int64_t>(need);
}

std::int64_t loan_size(double level, std::int64_t needed, std::int64_t expected)
{
    const auto available = static_cast<std::int64_t>(std::max(level, 0.0));
    const auto for_waiting = std::min(available, needed);
    const double rest = std::max(level, 0.0) - static_cast<double>(for_waiting);
    return for_waiting + std::min(static_cast<std::int64_t>(rest * expected_part_of_level), expected);
}
} // namespace buckthornhill::rate_limits
