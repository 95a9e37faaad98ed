#include "node/entry_node.h"

#include <algorithm>

namespace buckthornhill::node {
using membership::member_state;

namespace {
admission::admittance admittance_of(health::condition condition)
{
    switch (condition) {
    case health::condition::healthy:
        return admission::admittance::open;
    case health::condition::unverified:
        return admission::admittance::unverified;
    case health::condition::ejected:
    case health::condition::leaving:
        break;
    }
    return admission::admittance::closed;
}

constexpr std::chrono::milliseconds handover_retry_interval{500};
constexpr std::chrono::seconds handover_timeout{5};
} // namespace

entry_node::entry_node(const membership::member_description& self, const node_configuration& settings,
                       random_hook random_source)
    : configuration(settings)
    , random(std::move(random_source))
    , state(self, this->configuration, this->random)
    , coordinator(this->state, this->configuration, self.id, self.region, this->outbox)
    , lookup(this->state, this->configuration, this->random)
    , note_broadcast(this->state.crashes)
{
}

void entry_node::detect_pause(time_point now)
{
    const auto paused_for = now - this->last_event;
    const bool was_paused =
        this->last_event != time_point{} && paused_for > this->configuration.freeze_threshold;
    this->last_event = now;
    if (!was_paused) {
        return;
    }
    //! NOTE Peers may have taken over this instance's upstreams, so it resynchronizes before it admits again.
    this->state.members.restart_timeouts(now);
    this->state.admission.restart_slow_starts(now);
    if (this->state.members.size() > 0 && !this->awaits_resync) {
        this->awaits_resync = true;
        this->resync_round = this->heartbeat_round + 1;
        this->coordinator.set_admitting(false);
        this->state.admission.set_paused(true);
        this->next_heartbeat = now;
    }
}

void entry_node::finish_resync(time_point now)
{
    if (!this->awaits_resync) {
        return;
    }
    this->awaits_resync = false;
    this->coordinator.set_admitting(true);
    this->state.admission.set_paused(false);
    if (this->current_leave_phase == leave_phase::serving) {
        this->state.members.set_state(member_state::live);
    }
    this->rebuild_ownership(now);
    this->next_heartbeat = now;
}

void entry_node::on_caller_request(time_point now, const request_facts& facts)
{
    this->detect_pause(now);
    this->coordinator.on_caller_request(now, facts);
    this->broadcast_crash_notes(now);
}

void entry_node::on_forwarded_request(time_point now, const request_facts& facts,
                                      const forwarded_facts& forwarded)
{
    this->detect_pause(now);
    this->coordinator.on_forwarded_request(now, facts, forwarded);
}

void entry_node::on_upstream_result(time_point now, flow_id flow, std::uint64_t attempt,
                                    const upstream_id& upstream, const upstream_result& result)
{
    this->detect_pause(now);
    bool has_changed = false;
    if (result.status == attempt_status::complete) {
        has_changed |= this->state.health.on_success(now, upstream);
    } else if (result.status != attempt_status::cancelled) {
        has_changed |= this->state.health.on_failure(now, upstream);
    }
    if (result.is_leaving) {
        has_changed |= this->state.health.mark_leaving(upstream);
    }
    if (has_changed) {
        this->apply_health_conditions(now);
    }
    this->coordinator.on_upstream_result(now, flow, attempt, result);
    this->broadcast_crash_notes(now);
}

void entry_node::on_peer_result(time_point now, flow_id flow, std::uint64_t attempt,
                                const peer_result& result)
{
    this->detect_pause(now);
    this->coordinator.on_peer_result(now, flow, attempt, result);
    this->broadcast_crash_notes(now);
}

void entry_node::on_cancelled(time_point now, flow_id flow)
{
    this->coordinator.on_cancelled(now, flow);
}

void entry_node::on_probe_result(time_point now, const upstream_id& upstream, const probe_result& result)
{
    this->detect_pause(now);
    bool has_changed = result.is_alive ? this->state.health.on_success(now, upstream)
                                       : this->state.health.on_failure(now, upstream);
    if (result.is_leaving) {
        has_changed |= this->state.health.mark_leaving(upstream);
    }
    const auto* description = this->state.directory.find(upstream);
    if (description != nullptr && result.reported_in_use >= 0) {
        this->state.admission.on_load_report(now, description->service, upstream, result.reported_in_use);
    }
    if (has_changed) {
        this->apply_health_conditions(now);
    }
}

lists::offer_result entry_node::on_document(time_point now, lists::document_name name, object_version version,
                                            const std::string& body)
{
    this->detect_pause(now);
    const auto result = this->state.lists.offer(name, version, body);
    if (result != lists::offer_result::accepted) {
        return result;
    }
    const auto& lists = this->state.lists;
    this->state.usage.set_lists(lists.plans(), lists.quotas());
    if (name == lists::document_name::instances) {
        this->state.members.add_seeds(now, lists.instances().entries);
        this->state.directory.rebuild(lists.instances().upstreams);
        this->state.health.prune_leaving(
            [this](const upstream_id& id) { return this->state.directory.find(id) != nullptr; });
    }
    this->state.drain_gate.update(lists.plans(), lists.quotas(), lists.drains(), lists.instances());
    this->rebuild_ownership(now);
    return result;
}

void entry_node::on_store_confirmed(time_point now)
{
    this->detect_pause(now);
    this->has_read_store = true;
    this->confirmed_at = now;
    if (this->state.members.self().state == member_state::joining) {
        this->finish_resync(now);
    }
}

void entry_node::on_seed_peers(time_point now, const std::vector<membership::member_description>& seeds)
{
    this->state.members.add_seeds(now, seeds);
}

bool entry_node::is_confirmed(time_point now) const
{
    return this->confirmed_at != time_point{} &&
           now - this->confirmed_at <= this->configuration.confirmation_lifetime;
}

void entry_node::rebuild_ownership(time_point now)
{
    const auto& upstreams = this->state.lists.instances().upstreams;
    const auto& self = this->state.members.self().description.id;
    this->ownership_epoch = this->state.members.epoch();
    this->state.owners.rebuild(this->state.members.live_members(), upstreams);
    std::vector<upstream_id> owned;
    for (const auto& upstream : upstreams) {
        if (this->state.owners.owner_of(upstream.id) != self || this->awaits_resync) {
            this->state.health.remove(upstream.id);
            continue;
        }
        owned.push_back(upstream.id);
        this->state.admission.own(now, upstream);
        this->state.health.add(now, upstream.id, upstream.service);
    }
    this->state.admission.release_all_but(now, owned);
    for (const auto& [id, member] : this->state.members.all()) {
        if (member.record.state == member_state::gone) {
            this->state.selector.remove_owner(id);
            this->ejected_by_peer.erase(id);
            this->last_heartbeat_exchange.erase(id);
        }
    }
    this->update_region_shares(now);
    this->apply_health_conditions(now);
    this->refresh_own_report(now);
}

void entry_node::update_region_shares(time_point now)
{
    const auto& self = this->state.members.self().description;
    std::map<service_id, std::pair<std::int64_t, std::int64_t>> by_service;
    std::int64_t owned_slots = 0;
    std::int64_t region_slots = 0;
    for (const auto& upstream : this->state.lists.instances().upstreams) {
        if (upstream.region != self.region) {
            continue;
        }
        const bool is_owned = this->state.admission.find(upstream.service) != nullptr &&
                              this->state.admission.find(upstream.service)->owns(upstream.id);
        const auto slots = upstream.slots.value();
        by_service[upstream.service].first += is_owned ? slots : 0;
        by_service[upstream.service].second += slots;
        owned_slots += is_owned ? slots : 0;
        region_slots += slots;
    }
    for (const auto& [service, slots] : by_service) {
        this->state.shift.set_service_share(now, service, slots.first, slots.second);
    }
    this->state.shift.set_link_share(now, owned_slots, region_slots);
}

void entry_node::update_admittance(time_point now, const ownership::upstream_description& upstream)
{
    const bool is_closed = upstream.is_leaving || this->state.drain_gate.is_drained(upstream);
    const auto value = is_closed ? admission::admittance::closed
                                 : admittance_of(this->state.health.condition_of(upstream.id));
    this->state.admission.set_admittance(now, upstream.service, upstream.id, value);
}

void entry_node::apply_health_conditions(time_point now)
{
    for (const auto& [service, ids] : this->state.directory.services()) {
        std::int64_t ejected_by_peers = 0;
        for (const auto& [peer, counts] : this->ejected_by_peer) {
            const auto found = counts.find(service);
            ejected_by_peers += found == counts.end() ? 0 : found->second;
        }
        this->state.health.set_service_counts(service, ids.size(),
                                              static_cast<std::size_t>(ejected_by_peers));
    }
    for (const auto& upstream : this->state.lists.instances().upstreams) {
        this->update_admittance(now, upstream);
    }
    this->state.admission.on_tick(now);
    this->coordinator.handle_admission_events(now);
}

void entry_node::refresh_own_report(time_point now)
{
    const auto& self = this->state.members.self().description;
    for (const auto& report : this->state.admission.reports(now)) {
        this->state.selector.on_report(now, self.id, {self.region, self.domain}, report, 0);
    }
}

peers::heartbeat entry_node::make_heartbeat(time_point now, const instance_id& receiver,
                                            membership::gossip gossip)
{
    peers::heartbeat message;
    message.members = std::move(gossip);
    message.versions = this->state.lists.versions();
    message.reports = this->state.admission.reports(now);
    message.handovers = this->state.handovers.incarnations();
    message.leaving = {this->state.health.leaving().begin(), this->state.health.leaving().end()};
    message.round = this->heartbeat_round;
    const auto* peer = this->state.members.find(receiver);
    const bool is_same_region =
        peer != nullptr && peer->record.description.region == this->state.members.self().description.region;
    for (auto& [service, admission] : this->state.admission.services()) {
        const auto granted = admission.granted_to(now, receiver);
        if (granted > 0) {
            message.credits[service] = granted;
        }
    }
    for (const auto& [service, ids] : this->state.directory.services()) {
        const auto requested_credits = is_same_region ? 0 : this->state.selector.wanted_credits(now, service);
        if (requested_credits > 0) {
            message.requested_credits[service] = requested_credits;
        }
        const auto ejected = this->state.health.ejected_count(service);
        if (ejected > 0) {
            message.ejected[service] = static_cast<std::int64_t>(ejected);
        }
    }
    if (is_same_region) {
        message.usage = this->state.usage.own_usage();
        message.wants_tickets = this->lookup.needs_tickets_from(receiver);
    }
    if (this->ticket_requesters.erase(receiver) > 0 && !this->state.tickets.sealed()) {
        message.tickets = this->state.tickets.issue(this->configuration.tickets_per_peer_block);
    }
    return message;
}

void entry_node::send_heartbeats(time_point now, const std::vector<instance_id>& targets,
                                 const std::vector<quarantine::crash_note>& notes)
{
    const auto gossip = this->state.members.next_gossip();
    ++this->heartbeat_round;
    for (const auto& target : targets) {
        const auto* member = this->state.members.find(target);
        if (member != nullptr) {
            auto message = this->make_heartbeat(now, target, gossip);
            message.crash_notes = notes;
            this->outbox.push_back(
                heartbeat_action{target, member->record.description.peer_address, std::move(message)});
        }
    }
}

std::vector<instance_id> entry_node::due_targets(time_point now)
{
    //! NOTE A heartbeat exchange informs both sides, so a second one within half an interval is redundant.
    auto targets = this->state.members.pick_targets();
    std::erase_if(targets, [&](const instance_id& id) {
        const auto found = this->last_heartbeat_exchange.find(id);
        return found != this->last_heartbeat_exchange.end() &&
               now - found->second < this->configuration.membership.heartbeat_interval / 2;
    });
    return targets;
}

std::vector<instance_id> entry_node::reachable_peers() const
{
    std::vector<instance_id> ids;
    for (const auto& [id, member] : this->state.members.all()) {
        const auto state = member.record.state;
        const bool is_running = state != member_state::gone && state != member_state::seeded;
        if (is_running && this->lookup.is_reachable(id)) {
            ids.push_back(id);
        }
    }
    return ids;
}

void entry_node::broadcast_crash_notes(time_point now)
{
    const auto notes = this->coordinator.take_unsent_notes();
    if (notes.empty()) {
        return;
    }
    const auto targets = this->reachable_peers();
    this->send_heartbeats(now, targets, this->note_broadcast.urgent_notes(notes));
    this->note_broadcast.expect_confirmations(this->heartbeat_round, targets);
    if (targets.empty()) {
        this->coordinator.on_notes_confirmed(now);
    }
}

void entry_node::process_reports(time_point now, const peers::heartbeat& message)
{
    const auto& sender = message.members.front();
    const auto& id = sender.description.id;
    if (sender.state != member_state::live) {
        this->state.selector.remove_owner(id);
        return;
    }
    for (const auto& report : message.reports) {
        const auto credit = message.credits.find(report.service);
        this->state.selector.on_report(now, id, {sender.description.region, sender.description.domain},
                                       report, credit == message.credits.end() ? 0 : credit->second);
    }
    for (const auto& [service, requested_credits] : message.requested_credits) {
        this->state.shift.on_demand(now, service);
        if (auto* admission = this->state.admission.find(service)) {
            admission->on_credit_request(now, id, requested_credits);
        }
    }
    this->ejected_by_peer[id] = message.ejected;
}

void entry_node::process_heartbeat(time_point now, const peers::heartbeat& message)
{
    const auto& sender = message.members.front().description;
    this->last_heartbeat_exchange[sender.id] = now;
    this->lookup.set_reachable(sender.id, true);
    const bool has_changed = this->state.members.merge(now, message.members);
    this->process_reports(now, message);
    if (sender.region == this->state.members.self().description.region) {
        this->state.usage.on_peer_usage(now, sender.id, message.usage);
    }
    for (const auto& note : message.crash_notes) {
        this->state.crashes.on_crash_note(now, note);
    }
    bool has_leaving_sign = false;
    for (const auto& upstream : message.leaving) {
        has_leaving_sign |= this->state.health.mark_leaving(upstream);
    }
    for (const auto incarnation : message.handovers) {
        this->state.handover_holders[incarnation] = sender.id;
    }
    if (message.tickets.count > 0) {
        this->lookup.on_lent_tickets(sender.id, message.tickets);
    }
    if (message.wants_tickets) {
        this->ticket_requesters.insert(sender.id);
    }
    const auto missing = this->state.lists.documents_newer_in(message.versions);
    for (const auto name : missing) {
        this->outbox.push_back(fetch_document_action{sender.peer_address, name});
    }
    if (missing.empty()) {
        this->confirmed_at = now;
    }
    //! NOTE A message that was in transit during the pause describes the state before it, so only the
    //! response to a heartbeat sent after the pause ends the resynchronization.
    const bool is_answer = this->awaits_resync && message.acknowledged_round >= this->resync_round;
    const bool knows_lists = missing.empty() && !message.versions.empty();
    if (is_answer && (knows_lists || this->has_read_store)) {
        this->finish_resync(now);
    }
    if (has_changed) {
        this->rebuild_ownership(now);
    } else if (has_leaving_sign) {
        this->apply_health_conditions(now);
    }
}

peers::heartbeat entry_node::on_heartbeat(time_point now, const peers::heartbeat& message)
{
    this->detect_pause(now);
    this->process_heartbeat(now, message);
    auto response =
        this->make_heartbeat(now, message.members.front().description.id, this->state.members.next_gossip());
    response.crash_notes = this->note_broadcast.next_notes();
    response.acknowledged_round = message.round;
    return response;
}

void entry_node::on_heartbeat_response(time_point now, const peers::heartbeat& message)
{
    this->detect_pause(now);
    this->process_heartbeat(now, message);
    if (this->note_broadcast.on_heartbeat_response(message.members.front().description.id,
                                                   message.acknowledged_round)) {
        this->coordinator.on_notes_confirmed(now);
    }
    this->broadcast_crash_notes(now);
}

void entry_node::on_peer_unreachable(time_point now, const instance_id& peer)
{
    this->detect_pause(now);
    this->lookup.set_reachable(peer, false);
    this->state.selector.remove_owner(peer);
    if (this->note_broadcast.on_unreachable(peer)) {
        this->coordinator.on_notes_confirmed(now);
    }
}

void entry_node::on_handover(const requests::ticket_handover& handover)
{
    this->state.handovers.accept(handover);
}

lookup_response entry_node::look_up(time_point now, const service_id& service, const region_id& client_region,
                                    std::uint64_t tickets)
{
    this->detect_pause(now);
    return this->lookup.respond(service, client_region, tickets);
}

void entry_node::begin_leave(time_point now)
{
    if (this->current_leave_phase != leave_phase::serving) {
        return;
    }
    this->current_leave_phase = leave_phase::lingering;
    this->leave_started = now;
    this->state.members.set_state(member_state::leaving);
    this->send_heartbeats(now, this->reachable_peers(), this->note_broadcast.next_notes());
    this->rebuild_ownership(now);
}

void entry_node::send_handover()
{
    const auto live = this->state.members.live_members();
    if (live.empty()) {
        this->on_handover_response(false);
        return;
    }
    const auto& peer = live[this->random() % live.size()];
    this->outbox.push_back(handover_action{peer.id, peer.peer_address, this->state.tickets.make_handover()});
}

void entry_node::on_handover_response(bool is_accepted)
{
    if (this->current_leave_phase != leave_phase::handing_over || !is_accepted) {
        return;
    }
    this->current_leave_phase = leave_phase::stopped;
    this->state.members.set_state(member_state::gone);
    this->send_heartbeats(this->last_event, this->reachable_peers(), this->note_broadcast.next_notes());
}

void entry_node::advance_leave(time_point now)
{
    if (this->current_leave_phase == leave_phase::lingering) {
        const bool has_lingered = now - this->leave_started >= this->configuration.leave_linger;
        if (!has_lingered || this->coordinator.flow_count() > 0) {
            return;
        }
        this->state.tickets.seal();
        this->current_leave_phase = leave_phase::handing_over;
        this->leave_started = now;
        this->handover_sent = now;
        this->send_handover();
        return;
    }
    if (this->current_leave_phase != leave_phase::handing_over) {
        return;
    }
    if (now - this->leave_started >= handover_timeout) {
        this->on_handover_response(true);
    } else if (now - this->handover_sent >= handover_retry_interval) {
        this->handover_sent = now;
        this->send_handover();
    }
}

void entry_node::on_tick(time_point now)
{
    this->detect_pause(now);
    if (this->state.members.on_tick(now) || this->ownership_epoch != this->state.members.epoch()) {
        this->rebuild_ownership(now);
    }
    const bool has_joined = this->state.members.self().state != member_state::joining;
    if (this->awaits_resync && has_joined && this->state.members.live_members().size() <= 1) {
        this->finish_resync(now);
    }
    this->state.crashes.on_tick(now);
    if (this->state.health.on_tick(now)) {
        this->apply_health_conditions(now);
    }
    this->state.admission.on_tick(now);
    this->coordinator.on_tick(now);
    for (auto& [service, admission] : this->state.admission.services()) {
        admission.set_remote_cap(this->state.shift.cap(now, service));
    }
    for (const auto& upstream : this->state.health.collect_due_probes(now)) {
        if (const auto* description = this->state.directory.find(upstream)) {
            this->outbox.push_back(probe_action{upstream, description->address});
        }
    }
    this->refresh_own_report(now);
    this->advance_leave(now);
    this->broadcast_crash_notes(now);
    if (now < this->next_heartbeat || this->current_leave_phase == leave_phase::stopped) {
        return;
    }
    const auto interval =
        std::chrono::duration_cast<duration>(this->configuration.membership.heartbeat_interval);
    //! NOTE Jitter spreads the heartbeat rounds of different instances over time.
    this->next_heartbeat = now + interval - interval / 8 + interval / 1024 * (this->random() % 256);
    for (auto& [service, admission] : this->state.admission.services()) {
        admission.grant_credits(now);
    }
    this->send_heartbeats(now, this->due_targets(now), this->note_broadcast.next_notes());
}
} // namespace buckthornhill::node
