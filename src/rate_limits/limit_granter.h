#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rate_limits/arrival_rate.h"
#include "rate_limits/granter_selection.h"
#include "rate_limits/rate_limits_types.h"
#include "rate_limits/token_bucket.h"

namespace buckthornhill::rate_limits {
struct granter_configuration
{
    //! An instance that takes over from one that is silent lends nothing for this time: the other may be cut
    //! off and lend its whole rate until it has noticed that, and news of a return need some rounds of
    //! heartbeats. Longer than the membership's timeout and a round.
    std::chrono::milliseconds takeover_hold{6000};
    //! After its start an instance lends nothing for this time, until its first heartbeats have told the
    //! others, which lend for its accounts until then: several round trips between regions. After a loss of
    //! all instances no request of a limited account is served before it has passed.
    std::chrono::milliseconds start_hold{300};
    //! An instance that did not run for longer may have been taken over: others lend `takeover_hold` after
    //! they have missed it, at the earliest. Shorter pauses are common on busy machines and cost nothing.
    std::chrono::milliseconds max_gap{4000};
};

//! Keeps the buckets of the accounts for which this instance is the granter. Each granter lends the share of
//! the rate that the live instances are of all that were known lately, so that parts of the fleet that do not
//! see each other together lend no more than the rate. Answers the load of asks of all instances for an
//! account: one short message of each in some hundred milliseconds.
class limit_granter
{
public:
    struct token_counts
    {
        std::uint64_t lent = 0;
        std::uint64_t returned = 0;
    };

    limit_granter(instance_id self, const limit_bounds& bounds, const granter_configuration& configuration);

    void set_limits(time_point now, const std::map<account_id, account_limit>& limits);
    //! `live` contains this instance if it is live. `silent` were live and may still run, so they may lend.
    void set_members(time_point now, const std::vector<instance_id>& live, std::size_t lately_known,
                     const std::set<instance_id>& silent_instances);
    void on_tick(time_point now);
    //! This process did not run for this time, which the clock may not count.
    void on_pause(time_point now, duration paused);
    //! Repeated and late messages are answered without grants and have no effect.
    std::vector<token_grant> on_asks(time_point now, const ask_message& message);

    const token_counts& totals() const { return this->counts; }
    //! Accounts for which this instance lends at present.
    std::size_t lending_count(time_point now) const;
    double share() const { return this->current_share; }

private:
    struct open_loan
    {
        ask_number number;
        time_point lent_at;
        token_bucket::loan_number loan = 0;
        std::int64_t tokens = 0; //!< that may still come back
    };
    struct lending
    {
        token_bucket bucket;
        time_point lends_from;
        bool awaits_silent = false; //!< it lends earlier if the silent instances turn out to have ended
        arrival_rate asks;
        std::map<instance_id, std::vector<open_loan>> loans; //!< that may still come back, by borrower
    };
    struct account_state
    {
        account_limit limit;
        instance_id granter;
        std::optional<lending> own; //!< while this instance is the granter
    };
    struct borrower_state
    {
        incarnation_id incarnation;
        ask_number last;
        time_point heard_at;
    };

    void check_gap(time_point now);
    void begin_anew(time_point now);
    bool has_just_started(time_point now) const;
    //! Whether an instance that is silent may be lending for this account.
    bool has_silent_granter(const account_id& account) const;
    void update_role(time_point now, const account_id& account, account_state& state);
    void start_lending(time_point now, account_state& state, time_point from) const;
    void update_share(time_point now, double share);
    void apply_share(time_point now);
    bool is_repeat(time_point now, const ask_message& message);
    void take_back(time_point now, lending& own, const account_limit& limit, const instance_id& borrower,
                   const std::vector<returned_tokens>& returned);
    static std::chrono::milliseconds retry_after(time_point now, lending& own);
    token_grant lend(time_point now, const account_state& state, lending& own, const ask_message& message,
                     const token_ask& ask);

    instance_id self;
    limit_bounds bounds;
    granter_configuration configuration;
    granter_selection selection;
    std::set<instance_id> silent;
    std::map<account_id, account_state> accounts;
    std::unordered_map<instance_id, borrower_state> borrowers;
    double current_share = 0;
    std::optional<std::pair<time_point, double>> next_share; //!< a higher share, and from when it applies
    double wanted_share = 0;
    std::optional<time_point> live_since;
    std::optional<time_point> called_at;
    time_point next_cleanup_at{};
    token_counts counts;
};
} // namespace buckthornhill::rate_limits
