#pragma once

#include <chrono>
#include <string_view>

#include "global/ids.h"
#include "global/units.h"

//! Service-level burn: how fast each service uses up its error budget, over pairs of windows.
namespace buckthornhill::burn {
struct burn_objectives
{
    double availability = 0.999;            //!< fraction of requests that must be good
    std::chrono::milliseconds latency{250}; //!< an answer that took longer is not good
};

//! Customers on plans are counted apart from all others.
enum class customer_group { on_plan, off_plan };

struct burn_window
{
    std::string_view name;
    std::chrono::minutes length;
};

//! The short window of a pair confirms that the long one is still burning.
inline constexpr burn_window burn_windows[] = {{"5m", std::chrono::minutes(5)},
                                               {"1h", std::chrono::minutes(60)},
                                               {"30m", std::chrono::minutes(30)},
                                               {"6h", std::chrono::minutes(360)}};

struct burn_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

//! Burn rate 1 uses up the whole budget in exactly the objective's period; 0 when there were no requests.
double burn_rate(const burn_counts& counts, double availability_objective);
} // namespace buckthornhill::burn
