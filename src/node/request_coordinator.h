#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "node/node_slices.h"
#include "requests/retry_budget.h"

namespace buckthornhill::node {
//! Follows each request from its arrival to its answer: ticket, class, owner, slot, upstream, outcome.
class request_coordinator
{
public:
    request_coordinator(node_slices& slices, const node_configuration& configuration, instance_id self,
                        region_id region, std::vector<action>& outbox);

    //! A caller's request, or a resend that a peer forwarded here because its ticket names this incarnation.
    void on_caller_request(time_point now, const request_facts& facts);
    //! A request that another entry instance wants one of the upstreams owned here to run.
    void on_forwarded_request(time_point now, const request_facts& facts, const forwarded_facts& forwarded);
    void on_upstream_result(time_point now, flow_id flow, std::uint64_t attempt,
                            const upstream_result& result);
    void on_peer_result(time_point now, flow_id flow, std::uint64_t attempt, const peer_result& result);
    //! The caller, or the peer that forwarded the request, gave up on it.
    void on_cancelled(time_point now, flow_id flow);
    //! Handles queued requests that admission started or refused, and answers held back after a crash.
    void on_tick(time_point now);
    void handle_admission_events(time_point now);
    //! While false, nothing is started and every placement is refused as not executed.
    void set_admitting(bool value) { this->is_admitting = value; }

    std::size_t flow_count() const { return this->flows.size(); }
    //! Crash notes that peers have to get before the callers get their answers.
    //! Every reachable peer has the notes, so the answers held back for them may go out.
    void on_notes_spread(time_point now);
    std::vector<quarantine::crash_note> take_fresh_notes() { return std::exchange(this->fresh_notes, {}); }

private:
    enum class phase { placing, queued, at_upstream, at_peer, joined, held };
    struct flow_state
    {
        request_facts facts;
        region_id from_region; //!< of the entry instance that forwarded the request
        admission::request_class priority = admission::request_class::no_plan;
        admission::request_origin origin = admission::request_origin::local;
        instance_id from;          //!< the entry instance that forwarded the request to this owner
        bool is_forwarded = false; //!< this instance acts as the owner alone
        bool has_ticket = false;   //!< started in the book of this incarnation
        bool is_abandoned = false;
        bool is_on_trial = false;
        bool is_counted = false; //!< in the usage of its customer
        phase step = phase::placing;
        std::uint64_t attempt = 0;
        peer_request_kind peer_kind = peer_request_kind::admit;
        instance_id owner;
        upstream_id upstream;
        upstream_id avoid;
        std::set<instance_id> tried;
        int upstream_tries = 0;
        admission::refusal_reason last_reason = admission::refusal_reason::no_upstream;
        duration last_retry_after = std::chrono::milliseconds(250);
        time_point held_until;
        std::vector<flow_id> joined;
    };

    void open_ticket(time_point now, flow_state& flow);
    void resend_elsewhere(time_point now, flow_state& flow);
    void answer_ended(flow_state& flow);
    void place(time_point now, flow_state& flow);
    steering::steering_choice pick_owner(time_point now, const flow_state& flow);
    instance_id trial_owner(const flow_state& flow) const;
    void offer_here(time_point now, flow_state& flow);
    void start_at_upstream(time_point now, flow_state& flow, const upstream_id& upstream);
    void send_to_peer(time_point now, flow_state& flow, const membership::member_description& peer,
                      peer_request_kind kind);
    void leave_upstream(time_point now, flow_state& flow, const upstream_result& result);
    void on_not_executed_here(time_point now, flow_state& flow, admission::refusal_reason reason);
    void on_crash(time_point now, flow_state& flow);
    void on_owner_refused(time_point now, flow_state& flow, admission::refusal_reason reason,
                          duration retry_after);
    void on_admit_result(time_point now, flow_state& flow, const peer_result& result);
    void on_resend_result(flow_state& flow, const peer_result& result);
    void retry_or_unknown(time_point now, flow_state& flow);
    //! Look-ups whose owner is late, perhaps paused, go to another one within the retry budget.
    void give_up_late_owners(time_point now);
    void release_held(time_point now, bool are_notes_spread);
    void finish(flow_id id, requests::outcome result, admission::refusal_reason reason, duration retry_after,
                const requests::answer_ptr& answer);
    void emit_answer(const flow_state& flow, requests::outcome result, admission::refusal_reason reason,
                     duration retry_after, const requests::answer_ptr& answer);
    flow_state* find(flow_id id, std::uint64_t attempt);

    node_slices& slices;
    const node_configuration& configuration;
    instance_id self;
    region_id region;
    std::vector<action>& outbox;
    requests::retry_budget budget;
    std::unordered_map<flow_id, flow_state> flows;
    std::unordered_map<upstream_id, std::set<flow_id>> at_upstream;
    std::set<flow_id> held;
    std::multimap<time_point, std::pair<flow_id, std::uint64_t>> late_checks; //!< flow and attempt
    bool is_admitting = false;
    time_point event_time{}; //!< of the event that is being handled
    std::vector<quarantine::crash_note> fresh_notes;
};
} // namespace buckthornhill::node
