#pragma once

#include "proxy/proxy_types.h"
#include "routing/routing_types.h"

namespace buckthornhill::proxy {
enum class flow_step { waiting, at_upstream };

//! One request between its arrival and its answer.
struct proxy_flow
{
    request_facts facts;
    flow_step step = flow_step::waiting;
    time_point arrived_at;
    time_point queue_deadline; //!< without room by then it is refused
    time_point deadline;       //!< the caller's deadline or the route's timeout, whichever comes first
    routing::configuration_version route_version;
    routing::repeat_rule repeats = routing::repeat_rule::at_most_once;
    int max_upstreams = 1;
    placement::placement_request requirements;
    std::set<region_id> allowed_regions;
    placement::placement_choice choice;
    std::uint64_t attempt = 0;
    int upstreams_reached = 0;
    int unsent_attempts = 0;
    bool may_have_run = false;
    time_point sent_at;
};
} // namespace buckthornhill::proxy
