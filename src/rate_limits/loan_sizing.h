#pragma once

#include <chrono>

#include "rate_limits/rate_limits_types.h"

//! How many tokens a granter keeps and lends, and for how long.
namespace buckthornhill::rate_limits {
//! A loan never lives longer, so that an instance that fails or goes idle holds back little.
inline constexpr std::chrono::milliseconds max_loan_lifetime{2000};

//! Size of the bucket of an account, at least what the rate brings between two asks of a busy account.
double bucket_size(const account_limit& limit);
//! The longest time between the loan of a token and the run of its request that keeps the bound: the tokens
//! that are out exceed the bucket's rule by no more than the overrun and the slack. Less a margin for the way
//! from the instance to the upstream.
std::chrono::milliseconds loan_lifetime(const account_limit& limit, const limit_bounds& bounds);

//! Tokens that a borrower wants to hold for `arrivals_per_second`, without those for waiting requests. 0 for
//! slow flows, whose tokens would mostly expire unused.
std::int64_t expected_need(double arrivals_per_second, std::chrono::milliseconds lifetime);
//! Tokens that the granter lends: all that is needed, as far as there are any, and of the rest of the bucket
//! only a part for expected requests, so that no borrower takes what waiting requests of others need.
std::int64_t loan_size(double level, std::int64_t needed, std::int64_t expected);
} // namespace buckthornhill::rate_limits
