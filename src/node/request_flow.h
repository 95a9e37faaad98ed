#pragma once

#include <set>
#include <vector>

#include "node/node_types.h"

namespace buckthornhill::node {
//! The current stage of a request.
enum class flow_phase {
    placing,
    queued, //!< at this instance, as the owner
    at_upstream,
    at_peer,
    joined, //!< a resend that waits for the outcome of the running request
    held    //!< its response is held until peers confirm that they know of a crash
};

//! The coordinator's state for one request, from its arrival to its response.
struct request_flow
{
    request_facts facts;
    region_id forwarder_region; //!< of the entry instance that forwarded the request
    admission::request_class priority = admission::request_class::no_plan;
    admission::request_origin origin = admission::request_origin::local;
    instance_id remote_forwarder; //!< the entry instance that forwarded the request to this owner
    bool is_forwarded = false;    //!< received from another entry instance; this one acts only as the owner
    bool has_open_ticket = false; //!< its ticket is recorded as started by this incarnation
    bool is_abandoned = false;
    bool is_on_trial = false;
    bool is_counted_in_usage = false; //!< included in the usage of its customer
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
