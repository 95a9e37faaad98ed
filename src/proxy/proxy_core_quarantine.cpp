//! Decisions of the proxy core about requests that crash upstreams.
#include <algorithm>

#include "proxy/proxy_core.h"

namespace buckthornhill::proxy {
using admission = quarantine::crash_watch::admission;

bool proxy_core::is_admitted(time_point now, proxy_flow& flow)
{
    const auto print = flow.facts.request_fingerprint;
    if (flow.has_permission || this->crashes.admission_of(now, print) == admission::free) {
        return true;
    }
    flow.step = flow_step::awaiting_permission;
    flow.hold_deadline = std::min<time_point>(now + this->configuration.max_permission_wait, flow.deadline);
    this->held.insert(flow.facts.flow);
    this->outbox.push_back(request_permission_action{flow.facts.flow, print});
    return false;
}

void proxy_core::on_permission(time_point now, flow_id id, fingerprint request_fingerprint, bool is_granted)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end() || found->second.step != flow_step::awaiting_permission) {
        if (is_granted) {
            this->outbox.push_back(end_trial_action{request_fingerprint});
        }
        return;
    }
    auto& flow = found->second;
    this->held.erase(id);
    flow.step = flow_step::waiting;
    if (!is_granted) {
        this->refuse(now, flow, refusal_reason::quarantined);
        return;
    }
    flow.has_permission = true;
    flow.has_open_trial = true;
    this->dispatch(now, flow);
}

bool proxy_core::hold_for_verdict(time_point now, proxy_flow& flow)
{
    const bool is_suspect = this->crashes.on_connection_lost(now, flow.run, flow.facts.request_fingerprint);
    const bool may_repeat = flow.repeats == routing::repeat_rule::repeatable &&
                            flow.upstreams_reached < flow.max_upstreams && now < flow.deadline;
    if (!is_suspect || (!may_repeat && !flow.has_permission)) {
        return false;
    }
    flow.step = flow_step::awaiting_verdict;
    flow.hold_deadline = std::min<time_point>(now + this->configuration.max_verdict_wait, flow.deadline);
    this->held.insert(flow.facts.flow);
    return true;
}

void proxy_core::on_upstream_checked(time_point now, const upstream_run& run, bool has_ended)
{
    if (has_ended) {
        auto notes = this->crashes.on_upstream_ended(now, run);
        if (!notes.empty()) {
            this->outbox.push_back(report_crashes_action{run, std::move(notes)});
            return;
        }
    }
    this->release_held_at(now, run, has_ended ? upstream_verdict::ended : upstream_verdict::running);
}

void proxy_core::on_crashes_reported(time_point now, const upstream_run& run)
{
    this->release_held_at(now, run, upstream_verdict::ended);
}

void proxy_core::release_held_at(time_point now, const upstream_run& run, upstream_verdict verdict)
{
    const auto waiting = this->held;
    for (const auto id : waiting) {
        const auto& flow = this->flows.at(id);
        if (flow.step == flow_step::awaiting_verdict && flow.run == run) {
            this->release_held(now, id, verdict);
        }
    }
}

void proxy_core::release_held(time_point now, flow_id id, upstream_verdict verdict)
{
    auto& flow = this->flows.at(id);
    this->held.erase(id);
    flow.has_open_trial = flow.has_open_trial && verdict == upstream_verdict::running;
    flow.step = flow_step::at_upstream;
    if (!this->crashes.may_repeat(now, flow.facts.request_fingerprint)) {
        this->fail(flow, false);
        return;
    }
    attempt_outcome lost;
    lost.status = transport_status::broken;
    this->on_may_have_run(now, flow, lost);
}

void proxy_core::check_held(time_point now)
{
    const auto waiting = this->held;
    for (const auto id : waiting) {
        const auto& flow = this->flows.at(id);
        if (flow.step == flow_step::awaiting_confirmation) {
            this->check_key_again(now, id);
            continue;
        }
        if (now < flow.hold_deadline) {
            continue;
        }
        if (flow.step == flow_step::awaiting_tokens) {
            this->on_tokens(now, id, account_id(flow.account),
                            rate_limits::granter_unreachable{this->configuration.min_retry_after});
        } else if (flow.step == flow_step::awaiting_verdict) {
            this->release_held(now, id, upstream_verdict::unknown);
        } else {
            this->on_permission(now, id, flow.facts.request_fingerprint, false);
        }
    }
}

void proxy_core::on_request_completed(time_point now, const proxy_flow& flow)
{
    if (auto known = this->crashes.on_completed(now, flow.facts.request_fingerprint)) {
        this->outbox.push_back(clear_suspect_action{std::move(*known)});
    }
}
} // namespace buckthornhill::proxy
