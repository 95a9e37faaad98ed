#include "node/request_coordinator.h"

#include "global/hash.h"

namespace buckthornhill::node {
using admission::admission_kind;
using admission::attempt_result;
using admission::refusal_reason;
using admission::request_origin;
using quarantine::quarantine_state;
using requests::outcome;
using requests::ticket_state;

namespace {
//! Upstreams of this program do not start again under the same id.
upstream_run run_of(const upstream_id& upstream)
{
    return upstream_run(upstream.str());
}

//! An idempotent request is retried at another owner after this multiple of the expected response time.
constexpr int late_response_factor = 4;
constexpr std::chrono::milliseconds min_late_response_time{60};

attempt_result attempt_result_of(const upstream_result& result)
{
    if (result.status == attempt_status::complete) {
        return result.is_shed ? attempt_result::shed : attempt_result::completed;
    }
    return result.status == attempt_status::broken ? attempt_result::crashed : attempt_result::failed;
}
} // namespace

request_coordinator::request_coordinator(node_components& shared_components,
                                         const node_configuration& settings, instance_id own_id,
                                         region_id own_region, std::vector<action>& actions)
    : components(shared_components)
    , configuration(settings)
    , self(std::move(own_id))
    , region(std::move(own_region))
    , outbox(actions)
    , budget(settings.requests.retry_ratio, settings.requests.retry_burst)
{
}

request_flow* request_coordinator::find(flow_id id, std::uint64_t attempt)
{
    const auto found = this->flows.find(id);
    const bool is_current = found != this->flows.end() && found->second.attempt == attempt;
    return is_current ? &found->second : nullptr;
}

void request_coordinator::on_caller_request(time_point now, const request_facts& facts)
{
    this->event_time = now;
    auto& flow = this->flows[facts.flow];
    flow.facts = facts;
    flow.priority = this->components.usage.classify(now, facts.customer, facts.service);
    const bool is_shifted = !facts.client_region.empty() && facts.client_region != this->region;
    flow.origin = is_shifted ? request_origin::remote : request_origin::local;
    //! NOTE A resend is decided by its ticket alone: the original may have run even if its service is not
    //! listed here.
    const bool is_resend_possible = !facts.is_idempotent && facts.ticket;
    if (!is_resend_possible && this->is_admitting && !this->components.directory.has_service(facts.service)) {
        this->finish(facts.flow, outcome::not_executed, refusal_reason::no_upstream, {}, nullptr);
        return;
    }
    if (!facts.is_idempotent) {
        this->open_ticket(now, flow);
        return;
    }
    this->budget.on_first_attempt();
    flow.is_counted_in_usage = true;
    this->components.usage.on_start(facts.customer, facts.service);
    this->place_request(now, flow);
}

void request_coordinator::open_ticket(time_point now, request_flow& flow)
{
    const auto id = flow.facts.flow;
    if (!flow.facts.ticket) {
        this->finish(id, outcome::not_executed, refusal_reason::ticket_required, {}, nullptr);
        return;
    }
    const auto& ticket = *flow.facts.ticket;
    if (ticket.incarnation != this->components.members.self().description.incarnation) {
        this->forward_resend(now, flow);
        return;
    }
    switch (this->components.tickets.state_of(ticket.number)) {
    case ticket_state::never_issued:
        this->finish(id, outcome::not_executed, refusal_reason::ticket_invalid, {}, nullptr);
        return;
    case ticket_state::forgotten:
        this->finish(id, outcome::unknown, refusal_reason::none, {}, nullptr);
        return;
    case ticket_state::ended:
        this->respond_with_stored_outcome(flow);
        return;
    case ticket_state::running:
        flow.phase = flow_phase::joined;
        this->flows.at(this->components.tickets.running_flow(ticket.number)).joined.push_back(id);
        return;
    case ticket_state::fresh:
        break;
    }
    if (this->components.tickets.sealed()) {
        this->finish(id, outcome::not_executed, refusal_reason::leaving, {}, nullptr);
        return;
    }
    this->components.tickets.start(ticket.number, id);
    flow.has_open_ticket = true;
    flow.is_counted_in_usage = true;
    this->components.usage.on_start(flow.facts.customer, flow.facts.service);
    this->place_request(now, flow);
}

void request_coordinator::respond_with_stored_outcome(request_flow& flow)
{
    const auto* stored = this->components.tickets.find_ended(flow.facts.ticket->number);
    this->finish(flow.facts.flow, stored->result, stored->reason, {}, stored->response);
}

void request_coordinator::forward_resend(time_point now, request_flow& flow)
{
    const auto& ticket = *flow.facts.ticket;
    const auto* issuer = this->components.members.find_incarnation(ticket.incarnation);
    if (issuer != nullptr && !flow.facts.is_forwarded_resend) {
        this->send_to_peer(now, flow, issuer->record.description, peer_request_kind::resend);
        return;
    }
    if (this->components.handovers.contains(ticket.incarnation)) {
        this->finish(flow.facts.flow, this->components.handovers.outcome_of(ticket), refusal_reason::none, {},
                     nullptr);
        return;
    }
    const auto holder = this->components.handover_holder_of(ticket.incarnation);
    const auto* member = this->components.members.find(holder);
    if (member != nullptr && !flow.facts.is_forwarded_resend) {
        this->send_to_peer(now, flow, member->record.description, peer_request_kind::resend);
        return;
    }
    //! NOTE The incarnation is gone and no instance stores its outcomes, so the request may have run.
    this->finish(flow.facts.flow, outcome::unknown, refusal_reason::none, {}, nullptr);
}

void request_coordinator::place_request(time_point now, request_flow& flow)
{
    flow.phase = flow_phase::placing;
    const auto id = flow.facts.flow;
    if (!this->components.directory.has_service(flow.facts.service)) {
        const auto reason =
            this->is_admitting ? refusal_reason::no_upstream : refusal_reason::resynchronizing;
        this->finish(id, outcome::not_executed, reason, std::chrono::milliseconds(200), nullptr);
        return;
    }
    if (!this->is_admitting) {
        //! NOTE Peers still enforce their limits exactly; only the upstreams owned here are unavailable until
        //! the resynchronization ends.
        flow.tried_owners.insert(this->self);
        flow.last_refusal_reason = refusal_reason::resynchronizing;
    }
    if (this->components.crashes.state_of(now, flow.facts.request_fingerprint) ==
        quarantine_state::quarantined) {
        this->finish(id, outcome::not_executed, refusal_reason::quarantined, {}, nullptr);
        return;
    }
    if (flow.facts.deadline <= now) {
        this->finish(id, outcome::not_executed, refusal_reason::deadline_passed, {}, nullptr);
        return;
    }
    const auto choice = this->pick_owner(now, flow);
    if (choice.owner.empty()) {
        this->finish(id, outcome::not_executed, flow.last_refusal_reason, flow.last_retry_after, nullptr);
        return;
    }
    flow.owner = choice.owner;
    this->components.selector.on_sent(flow.owner, flow.facts.service);
    if (flow.owner == this->self) {
        this->offer_to_admission(now, flow);
        return;
    }
    const auto* member = this->components.members.find(flow.owner);
    if (member == nullptr) {
        this->on_owner_refused(now, flow, refusal_reason::no_upstream, {});
        return;
    }
    this->send_to_peer(now, flow, member->record.description, peer_request_kind::admit);
}

steering::steering_choice request_coordinator::pick_owner(time_point now, const request_flow& flow)
{
    const auto& facts = flow.facts;
    if (this->components.crashes.state_of(now, facts.request_fingerprint) == quarantine_state::suspected) {
        const auto owner = this->trial_owner(flow);
        return flow.tried_owners.contains(owner) ? steering::steering_choice{}
                                                 : steering::steering_choice{owner, false};
    }
    const auto* upstream = this->components.directory.preferred(facts.service, this->region, facts.affinity);
    const auto preferred =
        upstream == nullptr ? instance_id{} : this->components.owners.owner_of(upstream->id);
    return this->components.selector.choose(now, facts.service, preferred, flow.tried_owners);
}

instance_id request_coordinator::trial_owner(const request_flow& flow) const
{
    //! NOTE Every instance sends a suspect to the same owner, which runs it one at a time.
    const auto service = this->components.directory.services().find(flow.facts.service);
    const upstream_id* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& id : service->second) {
        const auto weight =
            rendezvous_weight(hash_text(id.str()), flow.facts.request_fingerprint.high_bits());
        const auto* upstream = this->components.directory.find(id);
        const bool is_usable = !upstream->is_leaving && !this->components.drain_gate.is_drained(*upstream);
        if (is_usable && (best == nullptr || weight > best_weight)) {
            best = &id;
            best_weight = weight;
        }
    }
    return best == nullptr ? instance_id{} : this->components.owners.owner_of(*best);
}

void request_coordinator::send_to_peer(time_point now, request_flow& flow,
                                       const membership::member_description& peer, peer_request_kind kind)
{
    flow.phase = flow_phase::at_peer;
    flow.peer_kind = kind;
    ++flow.attempt;
    const auto deadline = std::max(flow.facts.deadline, now) + this->configuration.response_grace;
    if (flow.facts.is_idempotent && kind == peer_request_kind::admit) {
        const auto expected = this->components.selector.expected_response_time(peer.id, flow.facts.service);
        const auto timeout = std::max<duration>(expected * late_response_factor, min_late_response_time);
        //! NOTE Without a measured service time there is no expected response time to compare with.
        if (expected > duration{}) {
            this->late_response_checks.emplace(now + timeout, std::pair(flow.facts.flow, flow.attempt));
        }
    }
    this->outbox.push_back(start_peer_action{flow.facts.flow, flow.attempt, kind, peer.id, peer.peer_address,
                                             flow.priority, deadline});
}

void request_coordinator::on_forwarded_request(time_point now, const request_facts& facts,
                                               const forwarded_facts& forwarded)
{
    this->event_time = now;
    auto& flow = this->flows[facts.flow];
    flow.facts = facts;
    flow.is_forwarded = true;
    flow.priority = forwarded.priority;
    const bool is_other_region = forwarded.forwarder_region != this->region;
    const bool is_shifted = !facts.client_region.empty() && facts.client_region != this->region;
    flow.origin = is_other_region || is_shifted ? request_origin::remote : request_origin::local;
    flow.remote_forwarder = is_other_region ? forwarded.forwarder : instance_id{};
    flow.forwarder_region = forwarded.forwarder_region;
    if (is_other_region && !this->components.shift.link_has_room(now, flow.forwarder_region)) {
        this->finish(facts.flow, outcome::not_executed, refusal_reason::link_full,
                     std::chrono::milliseconds(250), nullptr);
        return;
    }
    if (!this->is_admitting) {
        this->finish(facts.flow, outcome::not_executed, refusal_reason::resynchronizing, {}, nullptr);
        return;
    }
    if (this->components.crashes.state_of(now, facts.request_fingerprint) == quarantine_state::quarantined) {
        this->finish(facts.flow, outcome::not_executed, refusal_reason::quarantined, {}, nullptr);
        return;
    }
    this->offer_to_admission(now, flow);
}

void request_coordinator::offer_to_admission(time_point now, request_flow& flow)
{
    const auto& facts = flow.facts;
    const bool is_suspect =
        this->components.crashes.state_of(now, facts.request_fingerprint) == quarantine_state::suspected;
    if (is_suspect && !flow.is_on_trial) {
        if (!this->components.crashes.begin_trial(now, facts.request_fingerprint)) {
            this->on_owner_refused(now, flow, refusal_reason::quarantined, std::chrono::milliseconds(500));
            return;
        }
        flow.is_on_trial = true;
    }
    if (flow.origin == request_origin::remote) {
        this->components.shift.on_demand(now, facts.service);
        auto* service = this->components.admission.find(facts.service);
        if (service != nullptr) {
            service->set_remote_cap(this->components.shift.cap(now, facts.service));
        }
    }
    //! NOTE A suspect goes to one owner from every region, so it needs no credit; the cap on shifts holds for
    //! it.
    const auto credit_holder = flow.is_on_trial ? instance_id{} : flow.remote_forwarder;
    const auto decision = this->components.admission.offer(
        now, {facts.flow, facts.service, flow.priority, flow.origin, credit_holder, facts.deadline,
              facts.is_idempotent, facts.affinity, flow.avoided_upstream});
    if (decision.kind == admission_kind::started) {
        this->start_at_upstream(now, flow, decision.upstream);
    } else if (decision.kind == admission_kind::queued) {
        flow.phase = flow_phase::queued;
    } else {
        this->on_owner_refused(now, flow, decision.reason, decision.retry_after);
    }
    this->handle_admission_events(now);
}

void request_coordinator::handle_admission_events(time_point now)
{
    for (const auto& event : this->components.admission.take_events()) {
        const auto found = this->flows.find(event.flow);
        if (found == this->flows.end()) {
            continue;
        }
        if (event.decision.kind == admission_kind::started) {
            this->start_at_upstream(now, found->second, event.decision.upstream);
        } else {
            this->on_owner_refused(now, found->second, event.decision.reason, event.decision.retry_after);
        }
    }
}

void request_coordinator::start_at_upstream(time_point now, request_flow& flow, const upstream_id& upstream)
{
    const auto* description = this->components.directory.find(upstream);
    flow.upstream = upstream;
    flow.phase = flow_phase::at_upstream;
    ++flow.attempt;
    ++flow.upstream_attempts;
    this->flows_at_upstream[upstream].insert(flow.facts.flow);
    if (description == nullptr || flow.facts.deadline <= now) {
        //! NOTE Checked at the instant of sending: nothing is sent after the deadline.
        this->release_upstream(now, flow,
                               upstream_result{attempt_status::connect_failed, false, false, -1, nullptr});
        const auto reason =
            description == nullptr ? refusal_reason::no_upstream : refusal_reason::deadline_passed;
        this->on_owner_refused(now, flow, reason, {});
        return;
    }
    this->outbox.push_back(start_upstream_action{flow.facts.flow, flow.attempt, upstream,
                                                 description->address, flow.facts.deadline,
                                                 !flow.facts.is_idempotent});
}

void request_coordinator::release_upstream(time_point now, request_flow& flow, const upstream_result& result)
{
    this->flows_at_upstream[flow.upstream].erase(flow.facts.flow);
    this->components.admission.on_finish(now, flow.facts.service, flow.facts.flow, attempt_result_of(result));
    if (result.reported_in_use >= 0) {
        this->components.admission.on_load_report(now, flow.facts.service, flow.upstream,
                                                  result.reported_in_use);
    }
}

void request_coordinator::on_upstream_result(time_point now, flow_id id, std::uint64_t attempt,
                                             const upstream_result& result)
{
    this->event_time = now;
    auto* flow = this->find(id, attempt);
    if (flow == nullptr || flow->phase != flow_phase::at_upstream) {
        return;
    }
    this->release_upstream(now, *flow, result);
    switch (result.status) {
    case attempt_status::complete:
        if (result.is_shed) {
            this->on_attempt_not_executed(now, *flow, refusal_reason::upstream_shed);
            break;
        }
        if (this->components.crashes.on_completed(flow->facts.request_fingerprint)) {
            this->unsent_notes.push_back({flow->facts.request_fingerprint, run_of(flow->upstream), {}, true});
        }
        this->finish(id, outcome::done, refusal_reason::none, {}, result.upstream_response);
        break;
    case attempt_status::connect_failed:
        this->on_attempt_not_executed(now, *flow, refusal_reason::upstream_unreachable);
        break;
    case attempt_status::broken:
        this->on_crash(now, *flow);
        break;
    case attempt_status::timed_out:
    case attempt_status::cancelled:
        this->finish(id, outcome::unknown, refusal_reason::none, {}, nullptr);
        break;
    }
    this->handle_admission_events(now);
}

void request_coordinator::on_attempt_not_executed(time_point now, request_flow& flow, refusal_reason reason)
{
    flow.avoided_upstream = flow.upstream;
    if (flow.upstream_attempts < this->configuration.requests.max_upstream_attempts &&
        flow.facts.deadline > now) {
        this->offer_to_admission(now, flow);
        return;
    }
    this->on_owner_refused(now, flow, reason, std::chrono::milliseconds(100));
}

void request_coordinator::on_crash(time_point now, request_flow& flow)
{
    //! NOTE Every request that ran at the crashed upstream is a suspect until it completes once.
    std::vector<fingerprint> in_flight{flow.facts.request_fingerprint};
    for (const auto other : this->flows_at_upstream[flow.upstream]) {
        in_flight.push_back(this->flows.at(other).facts.request_fingerprint);
    }
    for (const auto& note : this->components.crashes.on_crash(now, run_of(flow.upstream), in_flight)) {
        this->unsent_notes.push_back(note);
    }
    //! NOTE The response is held until the peers have the crash notes, so that any instance recognizes a
    //! resend as a suspect.
    flow.avoided_upstream = flow.upstream;
    flow.phase = flow_phase::held;
    flow.hold_deadline = now + this->configuration.max_crash_note_wait;
    this->held_flows.insert(flow.facts.flow);
}

void request_coordinator::release_held_flows(time_point now, bool are_notes_confirmed)
{
    const auto waiting = this->held_flows;
    for (const auto id : waiting) {
        const auto found = this->flows.find(id);
        if (found == this->flows.end()) {
            this->held_flows.erase(id);
        } else if (are_notes_confirmed || now >= found->second.hold_deadline) {
            this->held_flows.erase(id);
            this->retry_or_finish_unknown(now, found->second);
        }
    }
}

void request_coordinator::retry_or_finish_unknown(time_point now, request_flow& flow)
{
    if (flow.is_on_trial) {
        this->components.crashes.end_trial(flow.facts.request_fingerprint);
        flow.is_on_trial = false;
    }
    const bool may_retry =
        flow.facts.is_idempotent && !flow.is_forwarded && !flow.is_abandoned && flow.facts.deadline > now;
    if (may_retry && this->budget.try_spend()) {
        this->components.selector.on_returned(flow.owner, flow.facts.service);
        flow.owner = instance_id{};
        this->place_request(now, flow);
        return;
    }
    this->finish(flow.facts.flow, outcome::unknown, refusal_reason::none, {}, nullptr);
}

void request_coordinator::on_owner_refused(time_point now, request_flow& flow, refusal_reason reason,
                                           duration retry_after)
{
    const auto id = flow.facts.flow;
    if (flow.is_forwarded) {
        this->finish(id, outcome::not_executed, reason, retry_after, nullptr);
        return;
    }
    if (flow.is_on_trial) {
        this->components.crashes.end_trial(flow.facts.request_fingerprint);
        flow.is_on_trial = false;
    }
    this->components.selector.on_returned(flow.owner, flow.facts.service);
    this->components.selector.on_refused(flow.owner, flow.facts.service);
    flow.tried_owners.insert(flow.owner);
    flow.owner = instance_id{};
    flow.last_refusal_reason = reason;
    flow.last_retry_after = retry_after;
    const bool may_try_another_owner =
        static_cast<int>(flow.tried_owners.size()) < this->configuration.requests.max_owner_attempts &&
        reason != refusal_reason::deadline_passed && reason != refusal_reason::quarantined;
    if (may_try_another_owner) {
        this->place_request(now, flow);
        return;
    }
    this->finish(id, outcome::not_executed, reason, retry_after, nullptr);
}

void request_coordinator::on_peer_result(time_point now, flow_id id, std::uint64_t attempt,
                                         const peer_result& result)
{
    this->event_time = now;
    auto* flow = this->find(id, attempt);
    if (flow == nullptr || flow->phase != flow_phase::at_peer) {
        return;
    }
    if (result.report) {
        this->components.selector.on_response_report(now, flow->owner, *result.report);
    }
    if (flow->peer_kind == peer_request_kind::resend) {
        this->on_resend_result(*flow, result);
        return;
    }
    this->on_admit_result(now, *flow, result);
    this->handle_admission_events(now);
}

void request_coordinator::on_admit_result(time_point now, request_flow& flow, const peer_result& result)
{
    const auto id = flow.facts.flow;
    switch (result.status) {
    case attempt_status::complete:
        break;
    case attempt_status::connect_failed:
        this->on_owner_refused(now, flow, refusal_reason::upstream_unreachable, {});
        return;
    case attempt_status::broken:
    case attempt_status::timed_out:
        flow.tried_owners.insert(flow.owner);
        this->retry_or_finish_unknown(now, flow);
        return;
    case attempt_status::cancelled:
        this->finish(id, outcome::unknown, refusal_reason::none, {}, nullptr);
        return;
    }
    if (result.result == outcome::done) {
        this->finish(id, outcome::done, refusal_reason::none, {}, result.upstream_response);
    } else if (result.result == outcome::not_executed) {
        this->on_owner_refused(now, flow, result.reason, result.retry_after);
    } else {
        this->retry_or_finish_unknown(now, flow);
    }
}

void request_coordinator::on_resend_result(request_flow& flow, const peer_result& result)
{
    //! NOTE The original may have run at the named incarnation, so a lost response is `unknown`.
    const bool is_complete = result.status == attempt_status::complete;
    const auto id = flow.facts.flow;
    this->finish(id, is_complete ? result.result : outcome::unknown,
                 is_complete ? result.reason : refusal_reason::none, result.retry_after,
                 result.upstream_response);
}

void request_coordinator::on_cancelled(time_point now, flow_id id)
{
    this->event_time = now;
    const auto found = this->flows.find(id);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    flow.is_abandoned = true;
    //! NOTE A started non-idempotent request continues, so that its resend can get the outcome.
    if (!flow.facts.is_idempotent && !flow.is_forwarded) {
        return;
    }
    if (flow.phase == flow_phase::queued && this->components.admission.withdraw(flow.facts.service, id)) {
        this->finish(id, outcome::not_executed, refusal_reason::none, {}, nullptr);
        return;
    }
    if (flow.facts.is_idempotent &&
        (flow.phase == flow_phase::at_upstream || flow.phase == flow_phase::at_peer)) {
        this->outbox.push_back(cancel_action{id, flow.attempt});
    }
    this->handle_admission_events(now);
}

void request_coordinator::abandon_late_owners(time_point now)
{
    while (!this->late_response_checks.empty() && this->late_response_checks.begin()->first <= now) {
        const auto [id, attempt] = this->late_response_checks.begin()->second;
        this->late_response_checks.erase(this->late_response_checks.begin());
        auto* flow = this->find(id, attempt);
        const bool is_waiting =
            flow != nullptr && flow->phase == flow_phase::at_peer && flow->facts.deadline > now;
        if (is_waiting && this->budget.try_spend()) {
            this->outbox.push_back(cancel_action{id, attempt});
            this->on_owner_refused(now, *flow, refusal_reason::overloaded, std::chrono::milliseconds(100));
        }
    }
}

void request_coordinator::on_notes_confirmed(time_point now)
{
    this->event_time = now;
    this->release_held_flows(now, true);
    this->handle_admission_events(now);
}

void request_coordinator::on_tick(time_point now)
{
    this->event_time = now;
    this->release_held_flows(now, false);
    this->abandon_late_owners(now);
    this->handle_admission_events(now);
}

void request_coordinator::finish(flow_id id, outcome result, refusal_reason reason, duration retry_after,
                                 const requests::response_ptr& upstream_response)
{
    const auto node = this->flows.extract(id);
    const auto& flow = node.mapped();
    if (flow.is_on_trial) {
        this->components.crashes.end_trial(flow.facts.request_fingerprint);
    }
    if (!flow.owner.empty() && !flow.is_forwarded) {
        this->components.selector.on_returned(flow.owner, flow.facts.service);
    }
    if (flow.is_counted_in_usage) {
        this->components.usage.on_finish(flow.facts.customer, flow.facts.service);
    }
    if (flow.has_open_ticket) {
        this->components.tickets.end(flow.facts.ticket->number, result, reason, upstream_response);
    }
    if (flow.is_forwarded && flow.forwarder_region != this->region) {
        const auto transferred =
            flow.facts.body_size.value() + (upstream_response ? upstream_response->size() : 0);
        this->components.shift.on_bytes(this->event_time, flow.forwarder_region, byte_count(transferred));
    }
    this->emit_response(flow, result, reason, retry_after, upstream_response);
    for (const auto joined : flow.joined) {
        if (this->flows.contains(joined)) {
            this->finish(joined, result, reason, retry_after, upstream_response);
        }
    }
}

void request_coordinator::emit_response(const request_flow& flow, outcome result, refusal_reason reason,
                                        duration retry_after, const requests::response_ptr& upstream_response)
{
    if (flow.is_abandoned) {
        return;
    }
    requests::ticket_block tickets;
    if (!flow.facts.is_idempotent && !flow.is_forwarded && !this->components.tickets.sealed()) {
        tickets = this->components.tickets.issue(this->configuration.tickets_per_response);
    }
    std::optional<admission::service_report> report;
    if (auto* service = flow.is_forwarded ? this->components.admission.find(flow.facts.service) : nullptr) {
        report = service->report(this->event_time);
    }
    this->outbox.push_back(response_action{flow.facts.flow, result, reason, retry_after, upstream_response,
                                           tickets, std::move(report)});
}
} // namespace buckthornhill::node
