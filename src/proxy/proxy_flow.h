#pragma once

#include "proxy/proxy_types.h"
#include "routing/routing_types.h"

namespace buckthornhill::proxy {
enum class flow_step {
    waiting,
    at_upstream,
    awaiting_verdict,     //!< its connection was lost; whether it may be sent again is being found out
    awaiting_permission,  //!< it is a suspect, and only one of these may run at a time
    awaiting_tokens,      //!< of the limit of its account
    awaiting_confirmation //!< its key is unknown, and the configuration may be about to change
};

//! State of one request from its arrival to its response.
struct proxy_flow
{
    request_facts facts;
    flow_step step = flow_step::waiting;
    time_point arrived_at;
    time_point queue_deadline; //!< until which the request may wait for room
    time_point deadline;       //!< the caller's deadline or the route's timeout, whichever comes first
    routing::configuration_version route_version; //!< of the configuration that the route was taken from
    bool is_bound = false;                        //!< to a route
    //! Stays at `at_most_once` once a route has said so.
    routing::repeat_rule repeats = routing::repeat_rule::at_most_once;
    int max_upstreams = 1;
    account_id account; //!< of its key; empty on public routes and where there are no accounts
    int account_priority = 0;
    int route_priority = 0;
    std::optional<std::chrono::nanoseconds> key_unknown_since; //!< since boot
    std::optional<request_token> token;                        //!< while no attempt that may have run used it
    flow_step step_before_tokens = flow_step::waiting;
    duration tokens_retry_after{};
    //! How the latest attempt that may have run ended.
    bool has_response = false;
    bool has_timed_out = false;
    bool is_retry_paid = false; //!< for the coming attempt, so it spends no more of the retry budget
    placement::placement_request requirements; //!< for the choice of an upstream
    std::set<region_id> allowed_regions;
    placement::placement_choice choice;
    std::uint64_t attempt = 0; //!< number of the current attempt
    int upstreams_reached = 0;
    int unsent_attempts = 0;
    std::optional<placement::upstream_attempt_result> last_result; //!< of the attempt before
    bool may_have_run = false;
    bool has_caller_left = false; //!< while an attempt that is not cancelled was in progress
    upstream_run run;             //!< that the current attempt was sent to
    //! It has the permission below, and no upstream is known to have ended under it.
    bool has_open_trial = false;
    bool has_permission = false; //!< to run as the only one with its fingerprint
    time_point hold_deadline{};  //!< of the steps that await something
    time_point sent_at;
};
} // namespace buckthornhill::proxy
