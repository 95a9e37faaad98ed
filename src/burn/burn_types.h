#pragma once

#include <chrono>
#include <string_view>

#include "global/ids.h"
#include "global/units.h"

//! Burn rates: how fast each service uses up its error budget, over pairs of windows.
namespace buckthornhill::burn {
struct burn_objectives
{
    double availability = 0.999;            //!< fraction of requests that must be good
    std::chrono::milliseconds latency{250}; //!< a response that took longer is not good
};

//! Customers on plans are counted separately from all others.
enum class customer_group { on_plan, off_plan };

struct burn_window
{
    std::string_view name;
    std::chrono::minutes length;
};

//! Pairs of a short and a long window: the short one shows whether the budget is still being used up at the
//! rate that the long one reports.
inline constexpr burn_window burn_windows[] = {{"5m", std::chrono::minutes(5)},
                                               {"1h", std::chrono::minutes(60)},
                                               {"30m", std::chrono::minutes(30)},
                                               {"6h", std::chrono::minutes(360)}};

struct burn_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

//! A burn rate of 1 uses up the whole error budget in exactly the period of the objective. The rate is 0 when
//! there were no requests.
double burn_rate(const burn_counts& counts, double availability_objective);
} // namespace buckthornhill::burn
