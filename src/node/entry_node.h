#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "node/crash_note_broadcast.h"
#include "node/entry_lookup.h"
#include "node/node_components.h"
#include "node/request_coordinator.h"

namespace buckthornhill::node {
//! All decisions of one entry instance. Events come in with their time; `take_actions` gives what to do.
class entry_node
{
public:
    entry_node(const membership::member_description& self, const node_configuration& configuration,
               random_hook random);
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    void on_caller_request(time_point now, const request_facts& facts);
    void on_forwarded_request(time_point now, const request_facts& facts, const forwarded_facts& forwarded);
    void on_upstream_result(time_point now, flow_id flow, std::uint64_t attempt, const upstream_id& upstream,
                            const upstream_result& result);
    void on_peer_result(time_point now, flow_id flow, std::uint64_t attempt, const peer_result& result);
    void on_cancelled(time_point now, flow_id flow);
    void on_probe_result(time_point now, const upstream_id& upstream, const probe_result& result);

    //! A heartbeat from a peer; returns the response to it.
    peers::heartbeat on_heartbeat(time_point now, const peers::heartbeat& message);
    void on_heartbeat_response(time_point now, const peers::heartbeat& message);
    //! The connect to a peer failed: callers and requests are sent elsewhere until it is heard of again.
    void on_peer_unreachable(time_point now, const instance_id& peer);
    //! A document from the store or a peer. Version 0 says that the store has none.
    lists::offer_result on_document(time_point now, lists::document_name name, object_version version,
                                    const std::string& body);
    //! Every document of the store was read once since the start.
    void on_store_confirmed(time_point now);
    void on_handover(const requests::ticket_handover& handover);
    void on_handover_response(bool is_accepted);
    //! Peers named in the settings, for a start while the store is down.
    void on_seed_peers(time_point now, const std::vector<membership::member_description>& seeds);

    //! `tickets` is how many the caller asks for; 0 for callers of idempotent requests.
    lookup_response look_up(time_point now, const service_id& service, const region_id& client_region,
                            std::uint64_t tickets);
    //! Starts a planned stop: others take over, requests in flight end, outcomes go to a peer.
    void begin_leave(time_point now);
    bool is_stopped() const { return this->current_leave_phase == leave_phase::stopped; }
    bool is_leaving() const { return this->current_leave_phase != leave_phase::serving; }
    bool is_resynchronizing() const { return this->awaits_resync; }
    //! List versions were confirmed with the store or a peer within the confirmation lifetime.
    bool is_confirmed(time_point now) const;

    void on_tick(time_point now);
    std::vector<action> take_actions() { return std::exchange(this->outbox, {}); }

    node_components& components() { return this->state; }
    std::size_t flow_count() const { return this->coordinator.flow_count(); }

private:
    enum class leave_phase { serving, lingering, handing_over, stopped };

    void detect_pause(time_point now);
    void finish_resync(time_point now);
    void rebuild_ownership(time_point now);
    void update_region_shares(time_point now);
    void update_admittance(time_point now, const ownership::upstream_description& upstream);
    void apply_health_conditions(time_point now);
    void process_heartbeat(time_point now, const peers::heartbeat& message);
    void process_reports(time_point now, const peers::heartbeat& message);
    peers::heartbeat make_heartbeat(time_point now, const instance_id& receiver, membership::gossip gossip);
    void send_heartbeats(time_point now, const std::vector<instance_id>& targets,
                         const std::vector<quarantine::crash_note>& notes);
    //! Targets of this round without a heartbeat exchange within the last half interval.
    std::vector<instance_id> due_targets(time_point now);
    //! Peers that are running and whose last connect did not fail.
    std::vector<instance_id> reachable_peers() const;
    void broadcast_crash_notes(time_point now);
    void refresh_own_report(time_point now);
    void advance_leave(time_point now);
    void send_handover();

    node_configuration configuration;
    random_hook random;
    std::vector<action> outbox;
    node_components state;
    request_coordinator coordinator;
    entry_lookup lookup;
    crash_note_broadcast note_broadcast;
    std::map<instance_id, std::map<service_id, std::int64_t>> ejected_by_peer;
    std::set<instance_id> ticket_requesters;
    std::map<instance_id, time_point>
        last_heartbeat_exchange; //!< last heartbeat, or response to one, from each peer
    std::uint64_t heartbeat_round = 0;
    std::uint64_t resync_round =
        1; //!< the response to this heartbeat, or a later one, ends the resynchronization
    time_point last_event{};
    time_point next_heartbeat{};
    time_point confirmed_at{};
    time_point leave_started{};
    time_point handover_sent{};
    std::uint64_t ownership_epoch = 0;
    bool awaits_resync = true;
    bool has_read_store = false;
    leave_phase current_leave_phase = leave_phase::serving;
};
} // namespace buckthornhill::node
