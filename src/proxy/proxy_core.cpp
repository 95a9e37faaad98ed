#include "proxy/proxy_core.h"

#include <algorithm>

namespace buckthornhill::proxy {
using placement::upstream_attempt_result;
using routing::repeat_rule;

namespace {
upstream_attempt_result result_of(const attempt_outcome& outcome)
{
    switch (outcome.status) {
    case transport_status::complete:
        break;
    case transport_status::connect_failed:
        return upstream_attempt_result::unreachable;
    case transport_status::broken:
        return upstream_attempt_result::connection_lost;
    case transport_status::timed_out:
        return upstream_attempt_result::timed_out;
    }
    if (outcome.is_misdirected) {
        return upstream_attempt_result::unreachable;
    }
    if (outcome.is_not_executed) {
        return upstream_attempt_result::rejected;
    }
    return outcome.is_server_failure ? upstream_attempt_result::failed : upstream_attempt_result::answered;
}
} // namespace

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_configuration:
        return "no-configuration";
    case refusal_reason::no_upstream:
        return "no-upstream";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::paused:
        return "paused";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::unconfirmed_configuration:
        return "unconfirmed-configuration";
    case refusal_reason::over_limit:
        return "over-limit";
    case refusal_reason::limit_unknown:
        return "limit-unknown";
    }
    return "unknown";
}

std::string_view to_string(signal_change change)
{
    switch (change) {
    case signal_change::leaving:
        return "leaving";
    case signal_change::limit_named:
        return "limit_named";
    case signal_change::limit_over:
        return "limit_over";
    case signal_change::paused:
        return "paused";
    }
    return "unknown";
}

proxy_core::proxy_core(instance_id self, place where, const proxy_configuration& settings,
                       random_hook random_source)
    : configuration(settings)
    , random(std::move(random_source))
    , picker(std::move(self), std::move(where), settings.placement)
    , crashes(settings.quarantine)
    , confirmations(settings.freshness)
{
}

bool proxy_core::on_configuration(routing::routing_configuration new_configuration)
{
    const bool is_accepted = this->table.update_if_newer(std::move(new_configuration));
    if (is_accepted) {
        this->rotation.reset();
    }
    return is_accepted;
}

void proxy_core::set_instances(time_point now, std::size_t live,
                               const std::vector<placement::known_instance>& known)
{
    this->started_at = this->started_at.value_or(now);
    this->picker.set_instances(now, known);
    //! NOTE Instances that are out of sight still use their part of the limits.
    this->budget_instances = std::max(live, this->picker.lately_known_instances());
}

void proxy_core::set_retry_budget(double ratio, double burst)
{
    this->configuration.retry_ratio = ratio;
    this->configuration.retry_burst = burst;
}

const proxy_flow* proxy_core::find(flow_id flow) const
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? nullptr : &found->second;
}

proxy_core::binding proxy_core::bind_route(proxy_flow& flow)
{
    const auto* route = this->table.find(flow.facts.host, flow.facts.path);
    if (route == nullptr) {
        return binding::no_route;
    }
    flow.route_version = this->table.version();
    const bool was_single_run = flow.is_bound && flow.repeats == repeat_rule::at_most_once;
    flow.repeats = was_single_run ? repeat_rule::at_most_once : route->repeats;
    flow.is_bound = true;
    flow.max_upstreams = route->max_upstreams;
    flow.deadline = std::min(flow.facts.deadline, flow.arrived_at + route->timeout);
    flow.queue_deadline = flow.arrived_at + std::chrono::duration_cast<duration>(
                                                route->objective * this->configuration.max_wait_share);
    flow.allowed_regions = route->allowed_regions;
    flow.requirements.service = this->rotation.next(*route);
    flow.requirements.route = route->name;
    flow.requirements.object = flow.facts.object;
    flow.requirements.has_affinity = flow.facts.has_object && route->has_affinity;
    flow.requirements.objective = route->objective;
    flow.requirements.allowed_regions = &flow.allowed_regions;
    const auto* policy = this->table.policy(flow.requirements.service);
    flow.requirements.cold_requests_per_second = policy == nullptr ? 0 : policy->cold_requests_per_second;
    return this->bind_account(flow, *route);
}

bool proxy_core::rebind(time_point now, proxy_flow& flow)
{
    if (flow.route_version == this->table.version()) {
        return true;
    }
    if (!this->bind(now, flow)) {
        return false;
    }
    const bool would_run_again = flow.may_have_run && flow.repeats == repeat_rule::at_most_once;
    if (would_run_again) {
        this->fail(flow, now >= flow.deadline);
    }
    return !would_run_again;
}

bool proxy_core::may_send_again(time_point now, proxy_flow& flow)
{
    if (flow.repeats != repeat_rule::repeatable || flow.has_permission || now >= flow.deadline) {
        return false;
    }
    const bool is_current = flow.route_version == this->table.version();
    const bool is_bound = is_current || this->bind_route(flow) == binding::bound;
    return is_bound && flow.repeats == repeat_rule::repeatable && this->is_confirmed_for(flow);
}

void proxy_core::on_request(time_point now, const request_facts& facts)
{
    this->started_at = this->started_at.value_or(now);
    auto& flow = this->flows[facts.flow];
    flow.facts = facts;
    flow.arrived_at = facts.arrived_at;
    if (!this->table.has_configuration()) {
        this->refuse(now, flow, refusal_reason::no_configuration);
        return;
    }
    if (this->bind(now, flow)) {
        this->picker.on_arrival(flow.requirements);
        this->dispatch(now, flow);
    }
}

void proxy_core::dispatch(time_point now, proxy_flow& flow)
{
    if (!this->is_authorized(now, flow)) {
        return;
    }
    if (this->crashes.admission_of(now, flow.facts.request_fingerprint) ==
        quarantine::crash_watch::admission::quarantined) {
        this->refuse(now, flow, refusal_reason::quarantined);
        return;
    }
    if (!this->has_token(now, flow)) {
        return;
    }
    const bool may_wait = flow.step == flow_step::waiting && flow.queue_deadline > now;
    flow.choice = this->picker.pick(now, this->roster, flow.requirements);
    if (flow.choice.upstream.empty()) {
        this->refuse(now, flow, refusal_reason::no_upstream);
        return;
    }
    if (now >= flow.deadline) {
        this->refuse(now, flow, refusal_reason::deadline_passed);
        return;
    }
    //! NOTE A request that cannot be answered in time is refused at once: waiting would only cost the caller
    //! time.
    if (now + flow.choice.expected_latency > flow.deadline) {
        this->refuse(now, flow, refusal_reason::overloaded);
        return;
    }
    if (flow.choice.has_room) {
        if (this->is_admitted(now, flow)) {
            this->send(now, flow);
        }
        return;
    }
    if (!may_wait) {
        this->refuse(now, flow, refusal_reason::overloaded);
        return;
    }
    this->waiting.add(rank_of(flow), flow.facts.flow);
}

void proxy_core::send(time_point now, proxy_flow& flow)
{
    const auto* known = this->roster.find_usable(flow.choice.upstream);
    this->picker.on_sent(now, this->roster, flow.requirements, flow.choice.upstream);
    if (flow.upstreams_reached == 0 && flow.unsent_attempts == 0) {
        const auto window = std::chrono::duration_cast<duration>(this->configuration.retry_window);
        this->retry_limiters.try_emplace(flow.requirements.service, window)
            .first->second.on_first_attempt(now);
    }
    //! NOTE From here on the response of an earlier attempt is not there any more.
    flow.has_response = false;
    flow.has_timed_out = false;
    flow.is_retry_paid = false;
    flow.step = flow_step::at_upstream;
    flow.sent_at = now;
    flow.run = known->entry.run();
    ++flow.attempt;
    this->outbox.push_back(start_attempt_action{flow.facts.flow, flow.attempt, flow.choice.upstream, flow.run,
                                                known->entry.address, flow.deadline,
                                                flow.repeats == repeat_rule::at_most_once, flow.route_version,
                                                flow.last_result, this->account_for_upstream(flow)});
}

void proxy_core::on_attempt_outcome(time_point now, flow_id id, std::uint64_t attempt,
                                    const attempt_outcome& outcome)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end() || found->second.attempt != attempt ||
        found->second.step != flow_step::at_upstream) {
        return;
    }
    auto& flow = found->second;
    flow.last_result = result_of(outcome);
    this->picker.on_finished(now, flow.requirements, flow.choice, *flow.last_result, now - flow.sent_at);
    if (outcome.load) {
        if (flow.last_result == upstream_attempt_result::answered) {
            const auto changed =
                this->picker.on_work(now, flow.requirements, flow.choice, now - flow.sent_at, *outcome.load);
            if (changed) {
                this->outbox.push_back(capacity_changed_action{{flow.choice.upstream, *changed}});
            }
        }
        this->picker.on_report(now, flow.choice.upstream, *outcome.load);
    }
    if (outcome.signals) {
        this->apply_signals(now, flow.choice.upstream, *outcome.signals);
    }
    if (outcome.is_misdirected) {
        this->roster.on_misdirected(flow.choice.upstream);
    }
    flow.requirements.excluded_upstreams.push_back(flow.choice.upstream);
    const bool is_unsent = outcome.status == transport_status::connect_failed || outcome.is_misdirected;
    if (is_unsent) {
        ++flow.unsent_attempts;
        this->on_not_run(now, flow, outcome);
    } else if (outcome.status == transport_status::complete && outcome.is_not_executed) {
        ++flow.upstreams_reached;
        this->on_not_run(now, flow, outcome);
    } else if (outcome.status == transport_status::complete && !outcome.is_server_failure) {
        flow.token.reset();
        flow.has_open_trial = false;
        this->on_request_completed(now, flow);
        this->outbox.push_back(deliver_action{id, attempt});
        this->finish(id);
    } else {
        ++flow.upstreams_reached;
        flow.may_have_run = true;
        flow.token.reset();
        if (outcome.status == transport_status::complete) {
            flow.has_open_trial = false;
            this->on_request_completed(now, flow);
        }
        if (!outcome.is_connection_lost || !this->hold_for_verdict(now, flow)) {
            this->on_may_have_run(now, flow, outcome);
        }
    }
    this->dispatch_waiting(now);
}

void proxy_core::apply_signals(time_point now, const upstream_id& upstream,
                               const placement::upstream_signals& signals)
{
    const auto effects = this->picker.on_signals(now, upstream, signals);
    if (effects.has_limit_changed) {
        const auto change =
            signals.requests_per_second ? signal_change::limit_named : signal_change::limit_over;
        this->outbox.push_back(signal_changed_action{upstream, change, signals});
    }
    if (effects.has_pause_begun) {
        this->outbox.push_back(signal_changed_action{upstream, signal_change::paused, signals});
    }
    if (signals.is_leaving && this->roster.on_leaving(upstream)) {
        this->outbox.push_back(signal_changed_action{upstream, signal_change::leaving, signals});
    }
}

bool proxy_core::try_spend_retry(time_point now, const proxy_flow& flow)
{
    if (flow.upstreams_reached >= flow.max_upstreams || now >= flow.deadline) {
        return false;
    }
    const double share = this->configuration.usable_retry_share;
    const auto window = std::chrono::duration_cast<duration>(this->configuration.retry_window);
    auto& limiter = this->retry_limiters.try_emplace(flow.requirements.service, window).first->second;
    //! NOTE A process that has just started knows neither the other instances nor what its predecessor spent.
    const bool knows_window = this->started_at && now - *this->started_at >= window;
    const double burst =
        knows_window ? this->configuration.retry_burst * share / static_cast<double>(this->budget_instances)
                     : 0;
    const bool is_granted = limiter.try_spend(now, this->configuration.retry_ratio * share, burst);
    ++(is_granted ? this->retries.spent : this->retries.denied);
    return is_granted;
}

void proxy_core::on_not_run(time_point now, proxy_flow& flow, const attempt_outcome& outcome)
{
    const bool has_arrived = outcome.status == transport_status::complete;
    const bool was_rejected = has_arrived && !outcome.is_misdirected;
    const bool has_attempts_left =
        was_rejected || flow.unsent_attempts < this->configuration.max_unsent_attempts;
    //! NOTE What reached any upstream makes the next attempt a retry, even if it was meant for another one. A
    //! suspect that is let run gets no retry, since each may cost an upstream.
    if (!flow.has_caller_left && has_attempts_left &&
        (!has_arrived || (!flow.has_permission && this->try_spend_retry(now, flow)))) {
        flow.is_retry_paid = true;
        if (this->rebind(now, flow)) {
            this->dispatch(now, flow);
        }
        return;
    }
    this->refuse(now, flow, was_rejected ? refusal_reason::overloaded : refusal_reason::no_upstream);
}

void proxy_core::on_may_have_run(time_point now, proxy_flow& flow, const attempt_outcome& outcome)
{
    flow.has_response = outcome.status == transport_status::complete;
    flow.has_timed_out = outcome.status == transport_status::timed_out;
    this->send_again(now, flow);
}

void proxy_core::on_cancelled(time_point now, flow_id id)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    if (flow.step != flow_step::at_upstream) {
        this->waiting.remove(rank_of(flow), id);
        this->finish(id);
        return;
    }
    //! NOTE A request that may run at most once is not cancelled, as that could leave its work half done.
    if (flow.repeats == repeat_rule::at_most_once) {
        flow.has_caller_left = true;
        return;
    }
    flow.token.reset();
    flow.has_open_trial = false;
    this->outbox.push_back(cancel_attempt_action{id, flow.attempt});
    this->picker.on_finished(now, flow.requirements, flow.choice, upstream_attempt_result::cancelled,
                             now - flow.sent_at);
    this->finish(id);
    this->dispatch_waiting(now);
}

void proxy_core::on_tick(time_point now)
{
    this->roster.on_tick(now);
    this->picker.on_tick(now, this->roster);
    this->crashes.on_tick(now);
    this->check_held(now);
    this->dispatch_waiting(now);
}

void proxy_core::on_pause(time_point now)
{
    this->drop_tokens();
    for (const auto id : this->waiting.in_order()) {
        const auto& flow = this->flows.at(id);
        this->waiting.remove(rank_of(flow), id);
        this->refuse(now, flow, refusal_reason::paused);
    }
}

void proxy_core::dispatch_waiting(time_point now)
{
    if (this->waiting.size() == 0) {
        return;
    }
    for (const auto id : this->waiting.in_order()) {
        auto& flow = this->flows.at(id);
        this->waiting.remove(rank_of(flow), id);
        this->dispatch(now, flow);
    }
}

duration proxy_core::retry_after(time_point now, const proxy_flow& flow, refusal_reason reason)
{
    if (reason == refusal_reason::quarantined) {
        return std::max<duration>(this->configuration.suspect_retry_after,
                                  this->crashes.quarantine_left(now, flow.facts.request_fingerprint));
    }
    if (reason == refusal_reason::no_configuration || reason == refusal_reason::no_upstream ||
        reason == refusal_reason::unconfirmed_configuration) {
        return this->configuration.startup_retry_after;
    }
    if (reason == refusal_reason::over_limit || reason == refusal_reason::limit_unknown) {
        return flow.tokens_retry_after;
    }
    //! NOTE The currently expected wait plus a random part, so that refused callers do not all retry
    //! together.
    const auto wait = flow.choice.expected_latency - flow.choice.expected_work;
    const auto bounded =
        std::clamp<duration>(wait, this->configuration.min_retry_after, this->configuration.max_retry_after);
    constexpr std::uint64_t steps = 1024;
    return bounded + bounded * static_cast<std::int64_t>(this->random() % steps) / steps;
}

void proxy_core::refuse(time_point now, const proxy_flow& flow, refusal_reason reason)
{
    if (flow.may_have_run) {
        this->fail(flow, now >= flow.deadline);
        return;
    }
    this->outbox.push_back(refuse_action{flow.facts.flow, reason, this->retry_after(now, flow, reason)});
    this->finish(flow.facts.flow);
}

void proxy_core::fail(const proxy_flow& flow, bool is_timeout)
{
    this->outbox.push_back(fail_action{flow.facts.flow, is_timeout});
    this->finish(flow.facts.flow);
}

void proxy_core::finish(flow_id id)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    if (flow.has_open_trial) {
        this->outbox.push_back(end_trial_action{flow.facts.request_fingerprint});
    }
    if (flow.step == flow_step::awaiting_tokens) {
        this->outbox.push_back(cancel_tokens_action{id, flow.account});
    }
    this->return_token(flow);
    this->held.erase(id);
    this->flows.erase(found);
}
} // namespace buckthornhill::proxy
