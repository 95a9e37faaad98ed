#pragma once

#include <set>
#include <vector>

#include "node/node_types.h"

namespace buckthornhill::node {
//! Where a request is.
enum class flow_phase {
    placing,
    queued, //!< at this owner
    at_upstream,
    at_peer,
    joined, //!< a resend that waits for the running request
    held    //!< its response waits until peers know of a crash
};

//! What the coordinator knows of one request between its arrival and its response.
struct request_flow
{
    request_facts facts;
    region_id forwarder_region; //!< of the entry instance that forwarded the request
    admission::request_class priority = admission::request_class::no_plan;
    admission::request_origin origin = admission::request_origin::local;
    instance_id remote_forwarder; //!< the entry instance that forwarded the request to this owner
    bool is_forwarded = false;    //!< this instance acts as the owner alone
    bool has_open_ticket = false; //!< started in the book of this incarnation
    bool is_abandoned = false;
    bool is_on_trial = false;
    bool is_counted_in_usage = false; //!< in the usage of its customer
    flow_phase phase = flow_phase::placing;
    std::uint64_t attempt = 0;
    peer_request_kind peer_kind = peer_request_kind::admit;
    instance_id owner;
    upstream_id upstream;
    upstream_id avoided_upstream;
    std::set<instance_id> tried_owners;
    int upstream_attempts = 0;
    admission::refusal_reason last_refusal_reason = admission::refusal_reason::no_upstream;
    duration last_retry_after = std::chrono::milliseconds(250);
    time_point hold_deadline;
    std::vector<flow_id> joined;
};
} // namespace buckthornhill::node
