//! Decisions of the proxy core about the limits of accounts.
#include <algorithm>

#include "proxy/proxy_core.h"

namespace buckthornhill::proxy {
bool proxy_core::has_token(time_point now, proxy_flow& flow)
{
    const auto* account = flow.account.empty() ? nullptr : this->table.accounts().find(flow.account);
    const bool is_limited = account != nullptr && account->limit.requests_per_second > 0;
    const bool is_valid =
        flow.token && flow.token->account == flow.account && flow.token->token.expires_at > now;
    if (is_limited && is_valid) {
        return true;
    }
    this->return_token(flow);
    if (!is_limited) {
        return true;
    }
    flow.step_before_tokens = flow.step;
    flow.step = flow_step::awaiting_tokens;
    flow.hold_deadline = now + this->configuration.max_token_wait;
    this->held.insert(flow.facts.flow);
    this->outbox.push_back(request_tokens_action{flow.facts.flow, flow.account});
    return false;
}

void proxy_core::on_tokens(time_point now, flow_id id, const account_id& account,
                           const rate_limits::token_outcome& outcome)
{
    const auto* granted = std::get_if<rate_limits::token_granted>(&outcome);
    const auto found = this->flows.find(id);
    const bool is_expected = found != this->flows.end() && found->second.step == flow_step::awaiting_tokens &&
                             found->second.account == account;
    if (!is_expected) {
        if (granted != nullptr) {
            this->outbox.push_back(return_token_action{{account, granted->token}});
        }
        return;
    }
    auto& flow = found->second;
    this->held.erase(id);
    flow.step = flow.step_before_tokens;
    if (granted != nullptr) {
        flow.token = request_token{account, granted->token};
        if (flow.may_have_run) {
            this->send_again(now, flow);
        } else {
            this->dispatch(now, flow);
        }
        return;
    }
    if (flow.may_have_run) {
        this->end_after_attempt(flow);
        return;
    }
    const auto* above = std::get_if<rate_limits::over_limit>(&outcome);
    const auto* unreachable = std::get_if<rate_limits::granter_unreachable>(&outcome);
    flow.tokens_retry_after = above != nullptr         ? above->retry_after
                              : unreachable != nullptr ? unreachable->retry_after
                                                       : this->configuration.min_retry_after;
    this->refuse(now, flow, above != nullptr ? refusal_reason::over_limit : refusal_reason::limit_unknown);
}

void proxy_core::return_token(proxy_flow& flow)
{
    if (flow.token) {
        this->outbox.push_back(return_token_action{std::move(*flow.token)});
        flow.token.reset();
    }
}

void proxy_core::drop_tokens()
{
    for (auto& [id, flow] : this->flows) {
        flow.token.reset();
    }
}

void proxy_core::send_again(time_point now, proxy_flow& flow)
{
    if (this->may_send_again(now, flow)) {
        const auto next = this->picker.pick(now, this->roster, flow.requirements);
        const bool is_useful =
            !next.upstream.empty() && next.has_room && now + next.expected_latency < flow.deadline;
        //! NOTE The request may have run, so another attempt counts as another run of the account.
        if (is_useful && !this->has_token(now, flow)) {
            return;
        }
        if (is_useful && (flow.is_retry_paid || this->try_spend_retry(now, flow))) {
            flow.choice = next;
            this->send(now, flow);
            return;
        }
    }
    this->end_after_attempt(flow);
}

void proxy_core::end_after_attempt(const proxy_flow& flow)
{
    if (flow.has_response) {
        this->outbox.push_back(deliver_action{flow.facts.flow, flow.attempt});
        this->finish(flow.facts.flow);
        return;
    }
    this->fail(flow, flow.has_timed_out);
}
} // namespace buckthornhill::proxy
