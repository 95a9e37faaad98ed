#include "rate_limits/limit_borrower.h"

#include <algorithm>
#include <cmath>

#include "rate_limits/loan_sizing.h"

namespace buckthornhill::rate_limits {
namespace {
constexpr std::chrono::seconds calm_time{5}; //!< without refusals, until an account is no longer limited
constexpr std::chrono::seconds account_memory{60}; //!< without requests
//! Part of its lifetime after which the tokens of a loan go back that are not expected to be used.
constexpr double return_part = 0.6;
//! A return later than this before the end would reach the granter when the loan is over.
constexpr std::chrono::milliseconds return_lead{40};
} // namespace

limit_borrower::limit_borrower(borrower_run self_run, const borrower_configuration& settings)
    : self(std::move(self_run))
    , configuration(settings)
{
}

void limit_borrower::set_live(time_point now, const std::vector<instance_id>& live)
{
    this->selection.set_live(live);
    this->is_ask_due = true;
    std::erase_if(this->granters, [&](const auto& item) {
        return !item.second.in_flight && item.second.silent_until <= now;
    });
}

std::optional<held_token> limit_borrower::take_token(time_point now, account_state& state) const
{
    //! NOTE Loans without tokens stay until their end, for tokens that are given back.
    std::erase_if(state.loans, [&](const loan& each) {
        return each.expires_at <= now + this->configuration.min_time_left;
    });
    const auto first = std::ranges::find_if(state.loans, [](const loan& each) { return each.tokens > 0; });
    if (first == state.loans.end()) {
        return std::nullopt;
    }
    --first->tokens;
    return held_token{first->number, first->expires_at};
}

token_outcome limit_borrower::acquire(time_point now, const account_id& account, flow_id flow)
{
    auto& state = this->accounts[account];
    state.arrivals.on_arrival(now);
    state.used_at = now;
    if (const auto token = this->take_token(now, state)) {
        return token_granted{*token};
    }
    if (now < state.denied_until) {
        state.last_denied = now;
        return over_limit{std::max<duration>(state.denied_until - now, this->configuration.min_retry_after)};
    }
    const auto& granter = this->selection.granter_of(account);
    if (granter.empty() || now < this->granters[granter].silent_until) {
        return granter_unreachable{this->configuration.unreachable_retry_after};
    }
    state.waiting.push_back({flow, now});
    this->is_ask_due = true;
    return token_pending{};
}

void limit_borrower::cancel(const account_id& account, flow_id flow)
{
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end()) {
        std::erase_if(found->second.waiting, [&](const waiting_request& each) { return each.flow == flow; });
    }
}

void limit_borrower::give_back(time_point now, const account_id& account, const held_token& token)
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end() || token.expires_at <= now) {
        return;
    }
    auto& state = found->second;
    const auto known = std::ranges::find(state.loans, token.loan, &loan::number);
    if (known == state.loans.end()) {
        return;
    }
    ++known->tokens;
    this->serve_waiting(now, account, state);
}

void limit_borrower::serve_waiting(time_point now, const account_id& account, account_state& state)
{
    while (!state.waiting.empty()) {
        const auto token = this->take_token(now, state);
        if (!token) {
            return;
        }
        this->decisions.push_back({state.waiting.front().flow, account, token_granted{*token}});
        state.waiting.pop_front();
    }
}

void limit_borrower::decide_all(const account_id& account, account_state& state, const token_outcome& outcome)
{
    for (const auto& each : std::exchange(state.waiting, {})) {
        this->decisions.push_back({each.flow, account, outcome});
    }
}

void limit_borrower::deny(time_point now, const account_id& account, account_state& state,
                          duration retry_after)
{
    state.denied_until = now + retry_after;
    state.last_denied = now;
    if (!state.is_limited) {
        state.is_limited = true;
        this->changes.push_back({account, true});
    }
    this->decide_all(account, state, over_limit{retry_after});
}

void limit_borrower::apply_grant(time_point now, const sent_ask& sent, const token_ask& ask,
                                 const token_grant* grant)
{
    const auto found = this->accounts.find(ask.account);
    if (found == this->accounts.end()) {
        return;
    }
    auto& state = found->second;
    //! NOTE Where this instance is the granter, the answer comes at once, and so would the next ask.
    state.next_renewal = now + this->configuration.renewal_pause;
    if (grant == nullptr) {
        state.next_renewal = now + this->configuration.silence_pause;
        this->decide_all(ask.account, state,
                         granter_unreachable{this->configuration.unreachable_retry_after});
        return;
    }
    state.lifetime = std::min(grant->lifetime, max_loan_lifetime);
    if (grant->tokens > 0) {
        //! NOTE Counted from the ask, so that an answer that was held up brings no longer life.
        const auto expires_at = sent.sent_at + state.lifetime;
        const auto position = std::ranges::upper_bound(state.loans, expires_at, {}, &loan::expires_at);
        state.loans.insert(position, {sent.number, sent.granter, expires_at, grant->tokens});
    }
    this->serve_waiting(now, ask.account, state);
    if (grant->tokens < ask.needed) {
        this->deny(now, ask.account, state, grant->retry_after);
    } else if (grant->tokens < ask.expected) {
        state.next_renewal = now + std::max<duration>(grant->retry_after, this->configuration.renewal_lead);
    }
}

void limit_borrower::on_answer(time_point now, ask_number number, const std::vector<token_grant>& grants)
{
    auto found = this->in_flight.extract(number);
    if (found.empty()) {
        return;
    }
    this->is_ask_due = true;
    const auto& sent = found.mapped();
    this->granters[sent.granter].in_flight.reset();
    for (const auto& ask : sent.asks) {
        const auto grant = std::ranges::find(grants, ask.account, &token_grant::account);
        this->apply_grant(now, sent, ask, grant == grants.end() ? nullptr : &*grant);
    }
}

void limit_borrower::on_failed(time_point now, ask_number number)
{
    auto found = this->in_flight.extract(number);
    if (found.empty()) {
        return;
    }
    const auto granter = found.mapped().granter;
    this->granters[granter] = {std::nullopt, now + this->configuration.silence_pause};
    for (auto& [account, state] : this->accounts) {
        if (!state.waiting.empty() && this->selection.granter_of(account) == granter) {
            this->decide_all(account, state,
                             granter_unreachable{this->configuration.unreachable_retry_after});
        }
    }
}

void limit_borrower::check_account(time_point now, const account_id& account, account_state& state)
{
    while (!state.waiting.empty() &&
           now - state.waiting.front().since >= this->configuration.answer_timeout) {
        this->decisions.push_back({state.waiting.front().flow, account,
                                   granter_unreachable{this->configuration.unreachable_retry_after}});
        state.waiting.pop_front();
    }
    if (state.is_limited && now - state.last_denied > calm_time) {
        state.is_limited = false;
        this->changes.push_back({account, false});
    }
}

void limit_borrower::on_tick(time_point now)
{
    this->is_ask_due = true;
    std::vector<ask_number> overdue;
    for (const auto& [number, sent] : this->in_flight) {
        if (now - sent.sent_at >= this->configuration.answer_timeout) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        this->on_failed(now, number);
    }
    for (auto& [account, state] : this->accounts) {
        this->check_account(now, account, state);
    }
    std::erase_if(this->accounts, [&](const auto& item) {
        const auto& state = item.second;
        return state.waiting.empty() && !state.is_limited && now - state.used_at > account_memory;
    });
}

void limit_borrower::on_pause(time_point now)
{
    for (auto& [account, state] : this->accounts) {
        state.loans.clear();
        this->decide_all(account, state, granter_unreachable{this->configuration.unreachable_retry_after});
    }
    for (auto& [number, sent] : std::exchange(this->in_flight, {})) {
        this->granters[sent.granter] = {std::nullopt, now};
    }
}

void limit_borrower::return_unneeded(time_point now, const instance_id& granter, account_state& state,
                                     token_ask& ask) const
{
    const double rate = state.arrivals.value(now);
    double expected = static_cast<double>(state.waiting.size());
    for (auto& each : state.loans) {
        const auto left = each.expires_at - now;
        const bool is_due = left < state.lifetime * (1 - return_part) && left > return_lead;
        expected = std::max(expected, rate * std::chrono::duration<double>(left).count());
        const auto kept = std::min(static_cast<std::int64_t>(std::ceil(expected)), each.tokens);
        expected -= static_cast<double>(kept);
        if (is_due && each.granter == granter && kept < each.tokens) {
            ask.returned.push_back({each.number, each.tokens - kept});
            each.tokens = kept;
        }
    }
}

std::optional<token_ask> limit_borrower::next_ask(time_point now, const account_id& account,
                                                  account_state& state) const
{
    token_ask ask;
    ask.account = account;
    ask.needed = static_cast<std::int64_t>(state.waiting.size());
    const double rate = state.arrivals.value(now);
    const auto wanted = expected_need(rate, state.lifetime);
    const auto soon = now + this->configuration.renewal_lead;
    std::int64_t lasting = 0;
    for (const auto& each : state.loans) {
        lasting += each.expires_at > soon ? each.tokens : 0;
    }
    const double used_soon = rate * std::chrono::duration<double>(this->configuration.renewal_lead).count();
    const bool is_low = static_cast<double>(lasting) < used_soon + 1;
    if (wanted > lasting &&
        (ask.needed > 0 || (is_low && now >= state.next_renewal && now >= state.denied_until))) {
        ask.expected = wanted - lasting;
    }
    this->return_unneeded(now, this->selection.granter_of(account), state, ask);
    const bool is_empty = ask.needed == 0 && ask.expected == 0 && ask.returned.empty();
    return is_empty ? std::nullopt : std::optional(std::move(ask));
}

std::vector<outgoing_ask> limit_borrower::take_asks(time_point now)
{
    if (!std::exchange(this->is_ask_due, false)) {
        return {};
    }
    std::map<instance_id, std::vector<token_ask>> asks;
    for (auto& [account, state] : this->accounts) {
        const auto& granter = this->selection.granter_of(account);
        const bool has_work = !state.waiting.empty() || !state.loans.empty() || state.lifetime.count() > 0;
        if (!has_work || granter.empty()) {
            continue;
        }
        const auto& known = this->granters[granter];
        if (known.in_flight || now < known.silent_until) {
            continue;
        }
        if (auto ask = this->next_ask(now, account, state)) {
            asks[granter].push_back(std::move(*ask));
        }
    }
    std::vector<outgoing_ask> messages;
    for (auto& [granter, list] : asks) {
        const auto number = ++this->last_number;
        this->granters[granter].in_flight = number;
        this->in_flight[number] = {number, granter, now, list};
        messages.push_back({granter, {this->self, number, std::move(list)}});
    }
    return messages;
}

std::int64_t limit_borrower::held_tokens(time_point now, const account_id& account) const
{
    std::int64_t total = 0;
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end()) {
        for (const auto& each : found->second.loans) {
            total += each.expires_at > now ? each.tokens : 0;
        }
    }
    return total;
}

std::size_t limit_borrower::limited_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->accounts, [](const auto& item) { return item.second.is_limited; }));
}
} // namespace buckthornhill::rate_limits
