#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

#include "accounts/accounts_types.h"
#include "global/ids.h"
#include "global/units.h"

//! Enforces the limits of accounts over all instances. One instance, the granter, keeps the token bucket of
//! an account and lends tokens to the others for a short time. No sockets and no clocks.
namespace buckthornhill::rate_limits {
using accounts::account_limit;

//! In any window of this length, at most (rate x window + burst) x (1 + overrun) + slack requests of an
//! account run.
struct limit_bounds
{
    std::chrono::milliseconds window{5000};
    double overrun = 0.1;
    double slack = 20;
};

//! One run of the process of an instance that borrows tokens. A later run has a higher incarnation.
struct borrower_run
{
    instance_id instance;
    incarnation_id incarnation;
};

//! Number of a message among those that one run of a borrower has sent; it also names the loans of the
//! answer.
using ask_number = strong_number<struct ask_tag, std::uint64_t>;

//! Tokens of one loan that were not used.
struct returned_tokens
{
    ask_number loan;
    std::int64_t tokens = 0;
};

struct token_ask
{
    account_id account;
    std::int64_t needed = 0;   //!< for requests that wait
    std::int64_t expected = 0; //!< for requests that are likely to come while the loan lives
    std::vector<returned_tokens> returned;
};

struct ask_message
{
    borrower_run from;
    ask_number number;
    std::vector<token_ask> asks;
};

//! Answer for one account. The answer has no grant for accounts for which the receiver does not lend.
struct token_grant
{
    account_id account;
    std::int64_t tokens = 0;
    std::chrono::milliseconds lifetime{};    //!< from when the ask was sent
    std::chrono::milliseconds retry_after{}; //!< until there is room; 0 when all that was needed is lent
};

//! A token that one request holds.
struct held_token
{
    ask_number loan;
    time_point expires_at; //!< the request must be sent to an upstream before
};
} // namespace buckthornhill::rate_limits
