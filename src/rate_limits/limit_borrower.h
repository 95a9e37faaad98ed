#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "rate_limits/arrival_rate.h"
#include "rate_limits/granter_selection.h"
#include "rate_limits/rate_limits_types.h"

namespace buckthornhill::rate_limits {
struct borrower_configuration
{
    //! For an answer, and for a request to wait for tokens: several round trips between regions.
    std::chrono::milliseconds answer_timeout{150};
    //! A granter that did not answer is not asked for this time, so that not every request waits.
    std::chrono::milliseconds silence_pause{250};
    std::chrono::milliseconds unreachable_retry_after{200};
    std::chrono::milliseconds min_retry_after{50}; //!< for refused callers
    //! A request needs a token that is valid for this much longer, since it may wait a moment.
    std::chrono::milliseconds min_time_left{10};
    //! Tokens are asked for when those that are left would be used in this time.
    std::chrono::milliseconds renewal_lead{80};
    std::chrono::milliseconds renewal_pause{20}; //!< between asks for tokens that no request waits for
};

struct token_granted
{
    held_token token;
};
//! The answer comes with `limit_borrower::take_decisions`.
struct token_pending
{
};
struct over_limit
{
    duration retry_after{};
};
//! The granter cannot be asked or did not answer.
struct granter_unreachable
{
    duration retry_after{};
};
using token_outcome = std::variant<token_granted, token_pending, over_limit, granter_unreachable>;

struct token_decision
{
    flow_id flow;
    account_id account;
    token_outcome outcome; //!< not pending
};

struct outgoing_ask
{
    instance_id granter;
    ask_message message;
};

//! The account began to be limited here, or no request of it was refused for some seconds.
struct limiting_change
{
    account_id account;
    bool is_limited = false;
};

//! The tokens that this instance holds, and the requests that wait for tokens. At most one ask to each
//! granter is on its way. A steady flow renews its tokens before they run out, so that its requests need not
//! wait; tokens that are not expected to be used any more go back. Answers the load of requests of one
//! account that arrive at all instances.
class limit_borrower
{
public:
    limit_borrower(borrower_run self, const borrower_configuration& configuration);

    void set_live(time_point now, const std::vector<instance_id>& live);
    token_outcome acquire(time_point now, const account_id& account, flow_id flow);
    //! The request no longer waits.
    void cancel(const account_id& account, flow_id flow);
    //! The request with this token did not run and will not.
    void give_back(time_point now, const account_id& account, const held_token& token);
    void on_answer(time_point now, ask_number number, const std::vector<token_grant>& grants);
    //! The granter was not reached.
    void on_failed(time_point now, ask_number number);
    void on_tick(time_point now);
    //! This process was suspended, by a time that the clock may not count.
    void on_pause(time_point now);

    std::vector<outgoing_ask> take_asks(time_point now);
    std::vector<token_decision> take_decisions() { return std::exchange(this->decisions, {}); }
    std::vector<limiting_change> take_changes() { return std::exchange(this->changes, {}); }
    //! Tokens that are held and valid.
    std::int64_t held_tokens(time_point now, const account_id& account) const;
    //! Accounts whose requests were refused here lately.
    std::size_t limited_count() const;

private:
    struct loan
    {
        ask_number number;
        instance_id granter;
        time_point expires_at;
        std::int64_t tokens = 0;
    };
    struct waiting_request
    {
        flow_id flow;
        time_point since;
    };
    struct account_state
    {
        arrival_rate arrivals;
        std::chrono::milliseconds lifetime{}; //!< of the latest loan
        std::vector<loan> loans;              //!< that live, by expiry
        std::deque<waiting_request> waiting;
        time_point denied_until{};
        time_point next_renewal{};
        time_point last_denied{};
        time_point used_at{};
        bool is_limited = false;
    };
    struct granter_state
    {
        std::optional<ask_number> in_flight;
        time_point silent_until{};
    };
    struct sent_ask
    {
        ask_number number;
        instance_id granter;
        time_point sent_at;
        std::vector<token_ask> asks;
    };

    std::optional<held_token> take_token(time_point now, account_state& state) const;
    void serve_waiting(time_point now, const account_id& account, account_state& state);
    void decide_all(const account_id& account, account_state& state, const token_outcome& outcome);
    void deny(time_point now, const account_id& account, account_state& state, duration retry_after);
    void apply_grant(time_point now, const sent_ask& sent, const token_ask& ask, const token_grant* grant);
    //! What to ask for now; empty when there is nothing to ask for and nothing to return.
    std::optional<token_ask> next_ask(time_point now, const account_id& account, account_state& state) const;
    void return_unneeded(time_point now, const instance_id& granter, account_state& state,
                         token_ask& ask) const;
    void check_account(time_point now, const account_id& account, account_state& state);

    borrower_run self;
    borrower_configuration configuration;
    granter_selection selection;
    std::unordered_map<account_id, account_state> accounts;
    std::unordered_map<instance_id, granter_state> granters;
    std::map<ask_number, sent_ask> in_flight;
    ask_number last_number;
    bool is_ask_due = false; //!< something changed since `take_asks`
    std::vector<token_decision> decisions;
    std::vector<limiting_change> changes;
};
} // namespace buckthornhill::rate_limits
