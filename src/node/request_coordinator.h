#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "node/node_components.h"
#include "node/request_flow.h"
#include "requests/retry_budget.h"

namespace buckthornhill::node {
//! Follows each request from its arrival to its response: ticket, class, owner, slot, upstream, outcome.
class request_coordinator
{
public:
    request_coordinator(node_components& components, const node_configuration& configuration,
                        instance_id self, region_id region, std::vector<action>& outbox);

    //! A caller's request, or a resend that a peer forwarded here because its ticket names this incarnation.
    void on_caller_request(time_point now, const request_facts& facts);
    //! A request that another entry instance wants one of the upstreams owned here to run.
    void on_forwarded_request(time_point now, const request_facts& facts, const forwarded_facts& forwarded);
    void on_upstream_result(time_point now, flow_id flow, std::uint64_t attempt,
                            const upstream_result& result);
    void on_peer_result(time_point now, flow_id flow, std::uint64_t attempt, const peer_result& result);
    //! The caller, or the peer that forwarded the request, gave up on it.
    void on_cancelled(time_point now, flow_id flow);
    //! Handles queued requests that admission started or refused, and responses held after a crash.
    void on_tick(time_point now);
    void handle_admission_events(time_point now);
    //! While false, nothing is started and every placement is refused as not executed.
    void set_admitting(bool value) { this->is_admitting = value; }

    std::size_t flow_count() const { return this->flows.size(); }
    //! Every reachable peer has the crash notes, so the held responses may be sent.
    void on_notes_confirmed(time_point now);
    //! Crash notes that the peers must get before the callers get their responses.
    std::vector<quarantine::crash_note> take_unsent_notes() { return std::exchange(this->unsent_notes, {}); }

private:
    void open_ticket(time_point now, request_flow& flow);
    void forward_resend(time_point now, request_flow& flow);
    void respond_with_stored_outcome(request_flow& flow);
    void place_request(time_point now, request_flow& flow);
    steering::steering_choice pick_owner(time_point now, const request_flow& flow);
    instance_id trial_owner(const request_flow& flow) const;
    void offer_to_admission(time_point now, request_flow& flow);
    void start_at_upstream(time_point now, request_flow& flow, const upstream_id& upstream);
    void send_to_peer(time_point now, request_flow& flow, const membership::member_description& peer,
                      peer_request_kind kind);
    void release_upstream(time_point now, request_flow& flow, const upstream_result& result);
    void on_attempt_not_executed(time_point now, request_flow& flow, admission::refusal_reason reason);
    void on_crash(time_point now, request_flow& flow);
    void on_owner_refused(time_point now, request_flow& flow, admission::refusal_reason reason,
                          duration retry_after);
    void on_admit_result(time_point now, request_flow& flow, const peer_result& result);
    void on_resend_result(request_flow& flow, const peer_result& result);
    void retry_or_finish_unknown(time_point now, request_flow& flow);
    //! Sends idempotent requests whose owner is late, perhaps paused, to another owner within the retry
    //! budget.
    void abandon_late_owners(time_point now);
    void release_held_flows(time_point now, bool are_notes_confirmed);
    void finish(flow_id id, requests::outcome result, admission::refusal_reason reason, duration retry_after,
                const requests::response_ptr& upstream_response);
    void emit_response(const request_flow& flow, requests::outcome result, admission::refusal_reason reason,
                       duration retry_after, const requests::response_ptr& upstream_response);
    request_flow* find(flow_id id, std::uint64_t attempt);

    node_components& components;
    const node_configuration& configuration;
    instance_id self;
    region_id region;
    std::vector<action>& outbox;
    requests::retry_budget budget;
    std::unordered_map<flow_id, request_flow> flows;
    std::unordered_map<upstream_id, std::set<flow_id>> flows_at_upstream;
    std::set<flow_id> held_flows;
    std::multimap<time_point, std::pair<flow_id, std::uint64_t>> late_response_checks; //!< flow and attempt
    bool is_admitting = false;
    time_point event_time{}; //!< of the event that is being handled
    std::vector<quarantine::crash_note> unsent_notes;
};
} // namespace buckthornhill::node
