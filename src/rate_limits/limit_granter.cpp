#include "rate_limits/limit_granter.h"

#include <algorithm>

#include "rate_limits/loan_sizing.h"

namespace buckthornhill::rate_limits {
namespace {
constexpr std::chrono::seconds borrower_memory{60}; //!< much longer than any message is on its way
//! A message of another run that comes later than this after the last one is no late one.
constexpr std::chrono::seconds run_change_time{5};
constexpr std::chrono::seconds cleanup_interval{1};
//! A caller that tries again earlier would mostly be refused again.
constexpr std::chrono::milliseconds min_retry_after{100};
constexpr std::chrono::milliseconds max_retry_after{5000};
//! Above this rate of asks for one account, borrowers that get nothing are told to wait longer, with the
//! square of the rate: 61 borrowers then ask some 340 times a second and 1,300 some 930 times.
constexpr double usual_asks_per_second = 250;
} // namespace

limit_granter::limit_granter(instance_id self_id, const limit_bounds& limit_bounds,
                             const granter_configuration& settings)
    : self(std::move(self_id))
    , bounds(limit_bounds)
    , configuration(settings)
{
}

void limit_granter::check_gap(time_point now)
{
    const bool was_frozen = this->called_at && now - *this->called_at > this->configuration.max_gap;
    this->called_at = now;
    if (was_frozen) {
        this->begin_anew(now);
    }
}

void limit_granter::on_pause(time_point now, duration paused)
{
    this->check_gap(now);
    if (paused > this->configuration.max_gap) {
        this->begin_anew(now);
    }
}

void limit_granter::begin_anew(time_point now)
{
    for (auto& [id, state] : this->accounts) {
        if (state.own) {
            this->start_lending(now, state, now + this->configuration.takeover_hold);
        }
    }
}

bool limit_granter::has_just_started(time_point now) const
{
    return !this->live_since || now - *this->live_since < this->configuration.takeover_hold;
}

bool limit_granter::has_silent_granter(const account_id& account) const
{
    return std::ranges::any_of(this->silent, [&](const instance_id& other) {
        return granter_selection::is_before(other, this->self, account);
    });
}

void limit_granter::start_lending(time_point now, account_state& state, time_point from) const
{
    const double share = this->current_share;
    const account_limit shared{state.limit.requests_per_second * share, state.limit.burst * share};
    state.own.emplace(
        lending{token_bucket(std::max(now, from), shared.requests_per_second, bucket_size(shared)),
                from,
                false,
                {},
                {}});
}

void limit_granter::update_role(time_point now, const account_id& account, account_state& state)
{
    const auto& granter = this->selection.granter_of(account);
    if (granter == state.granter) {
        return;
    }
    state.granter = granter;
    if (granter != this->self) {
        state.own.reset();
        return;
    }
    //! NOTE While all instances start, each hears of the others one by one and none has lent yet. An instance
    //! that has just started takes over from those that run, and these know of it after the hold.
    if (this->has_just_started(now)) {
        const auto begin = this->live_since.value_or(now) + this->configuration.start_hold;
        this->start_lending(now, state, std::max(now, begin));
        return;
    }
    const bool must_wait = this->has_silent_granter(account);
    this->start_lending(now, state, must_wait ? now + this->configuration.takeover_hold : now);
    state.own->awaits_silent = must_wait;
}

void limit_granter::set_limits(time_point now, const std::map<account_id, account_limit>& limits)
{
    this->check_gap(now);
    std::erase_if(this->accounts, [&](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [account, limit] : limits) {
        auto& state = this->accounts[account];
        state.limit = limit;
        this->update_role(now, account, state);
    }
    this->apply_share(now);
}

void limit_granter::set_members(time_point now, const std::vector<instance_id>& live,
                                std::size_t lately_known, const std::set<instance_id>& silent_instances)
{
    this->check_gap(now);
    const bool is_live = std::ranges::find(live, this->self) != live.end();
    if (is_live && !this->live_since) {
        this->live_since = now;
    }
    this->selection.set_live(live);
    this->silent = silent_instances;
    const auto known = std::max({lately_known, live.size(), std::size_t{1}});
    this->update_share(now, static_cast<double>(live.size()) / static_cast<double>(known));
    for (auto& [account, state] : this->accounts) {
        this->update_role(now, account, state);
        if (state.own && state.own->awaits_silent && now < state.own->lends_from &&
            !this->has_silent_granter(account)) {
            this->start_lending(now, state, now);
        }
    }
}

void limit_granter::update_share(time_point now, double share)
{
    this->wanted_share = share;
    if (share <= this->current_share || this->has_just_started(now)) {
        this->next_share.reset();
        this->current_share = share;
        this->apply_share(now);
        return;
    }
    //! NOTE A part of the fleet that has come back lends on its own until it has noticed that.
    if (this->next_share) {
        this->next_share->second = std::min(this->next_share->second, share);
    } else {
        this->next_share = {now + this->configuration.takeover_hold, share};
    }
}

void limit_granter::apply_share(time_point now)
{
    for (auto& [account, state] : this->accounts) {
        if (state.own) {
            const account_limit shared{state.limit.requests_per_second * this->current_share,
                                       state.limit.burst * this->current_share};
            state.own->bucket.set_limit(now, shared.requests_per_second, bucket_size(shared));
        }
    }
}

void limit_granter::on_tick(time_point now)
{
    this->check_gap(now);
    if (this->next_share && now >= this->next_share->first) {
        this->current_share = this->next_share->second;
        this->next_share.reset();
        this->apply_share(now);
        this->update_share(now, this->wanted_share);
    }
    if (now < this->next_cleanup_at) {
        return;
    }
    this->next_cleanup_at = now + cleanup_interval;
    for (auto& [account, state] : this->accounts) {
        if (state.own) {
            for (auto& [borrower, loans] : state.own->loans) {
                std::erase_if(loans,
                              [&](const open_loan& loan) { return now - loan.lent_at > max_loan_lifetime; });
            }
            std::erase_if(state.own->loans, [](const auto& item) { return item.second.empty(); });
        }
    }
    std::erase_if(this->borrowers,
                  [&](const auto& item) { return now - item.second.heard_at > borrower_memory; });
}

bool limit_granter::is_repeat(time_point now, const ask_message& message)
{
    auto& known = this->borrowers[message.from.instance];
    //! NOTE Incarnations come from the wall clock, which may be set back between two runs.
    const bool is_last_run =
        message.from.incarnation < known.incarnation && now - known.heard_at < run_change_time;
    const bool is_older =
        is_last_run || (message.from.incarnation == known.incarnation && message.number <= known.last);
    if (!is_older && message.from.incarnation != known.incarnation) {
        //! NOTE The numbers of the new run begin again, and must not be taken for loans of the last one.
        for (auto& [account, state] : this->accounts) {
            if (state.own) {
                state.own->loans.erase(message.from.instance);
            }
        }
    }
    if (!is_older) {
        known = {message.from.incarnation, message.number, now};
    }
    return is_older;
}

void limit_granter::take_back(time_point now, lending& own, const account_limit& limit,
                              const instance_id& borrower, const std::vector<returned_tokens>& returned)
{
    const auto found = own.loans.find(borrower);
    if (found == own.loans.end()) {
        return;
    }
    const auto lifetime = loan_lifetime(limit, this->bounds);
    for (const auto& each : returned) {
        const auto loan = std::ranges::find(found->second, each.loan, &open_loan::number);
        if (loan == found->second.end() || now - loan->lent_at > lifetime) {
            continue;
        }
        const auto tokens = std::clamp<std::int64_t>(each.tokens, 0, loan->tokens);
        loan->tokens -= tokens;
        own.bucket.give_back(now, loan->loan, tokens);
        this->counts.returned += static_cast<std::uint64_t>(tokens);
    }
    std::erase_if(found->second, [](const open_loan& loan) { return loan.tokens == 0; });
}

std::chrono::milliseconds limit_granter::retry_after(time_point now, lending& own)
{
    const double load = std::max(own.asks.value(now) / usual_asks_per_second, 1.0);
    const auto pause = std::chrono::duration<double, std::milli>(min_retry_after) * load * load;
    const auto wait =
        std::max<std::chrono::duration<double, std::milli>>(own.bucket.time_until(now, 1), pause);
    const auto bounded = std::min<std::chrono::duration<double, std::milli>>(wait, max_retry_after);
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

token_grant limit_granter::lend(time_point now, const account_state& state, lending& own,
                                const ask_message& message, const token_ask& ask)
{
    token_grant grant;
    grant.account = ask.account;
    grant.lifetime = loan_lifetime(state.limit, this->bounds);
    own.bucket.forget_loans_before(now - max_loan_lifetime);
    grant.tokens = loan_size(own.bucket.level(now), ask.needed, ask.expected);
    if (grant.tokens > 0) {
        const auto loan = own.bucket.lend(now, grant.tokens);
        own.loans[message.from.instance].push_back({message.number, now, loan, grant.tokens});
        this->counts.lent += static_cast<std::uint64_t>(grant.tokens);
    }
    if (grant.tokens < ask.needed + ask.expected) {
        grant.retry_after = retry_after(now, own);
    }
    return grant;
}

std::vector<token_grant> limit_granter::on_asks(time_point now, const ask_message& message)
{
    this->check_gap(now);
    if (this->is_repeat(now, message)) {
        return {};
    }
    std::vector<token_grant> grants;
    grants.reserve(message.asks.size());
    for (const auto& ask : message.asks) {
        const auto found = this->accounts.find(ask.account);
        if (found == this->accounts.end() || !found->second.own || now < found->second.own->lends_from) {
            continue;
        }
        auto& [account, state] = *found;
        auto& own = *state.own;
        own.asks.on_arrival(now);
        this->take_back(now, own, state.limit, message.from.instance, ask.returned);
        grants.push_back(this->lend(now, state, own, message, ask));
    }
    return grants;
}

std::size_t limit_granter::lending_count(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->accounts, [&](const auto& item) {
        return item.second.own && now >= item.second.own->lends_from;
    }));
}
} // namespace buckthornhill::rate_limits
