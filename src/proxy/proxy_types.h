#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "global/ids.h"
#include "global/units.h"
#include "placement/placement_types.h"

//! Follows each caller's request to an upstream and back: a state machine without sockets or clocks.
//! Events come in with their time, actions come out, so the daemon and the tests run the same decisions.
namespace buckthornhill::proxy {
struct proxy_configuration
{
    placement::placement_configuration placement;
    double retry_ratio = 0.2;                      //!< further sends for each first one, over all instances
    std::chrono::milliseconds retry_window{10000}; //!< over which the ratio is kept
    double retry_burst = 50;                       //!< further sends beyond the ratio, over all instances
    double usable_retry_share = 0.6; //!< of ratio and burst that is used; the rest covers views that differ
    double max_wait_share = 0.125;   //!< of the objective that a request may wait here for room
    int max_unsent_attempts = 4;     //!< upstreams tried that turned out unreachable
    std::chrono::milliseconds min_retry_after{50};
    std::chrono::milliseconds max_retry_after{1000};
    std::chrono::milliseconds startup_retry_after{300}; //!< while nothing is known yet
};

//! What the decisions need to know of a request; headers and body stay with the I/O.
struct request_facts
{
    flow_id flow;
    std::string host;
    std::string path; //!< without the query
    placement::object_hash object;
    bool has_object = false; //!< the caller named an object; else `object` only spreads requests
    time_point arrived_at;   //!< which may be before its turn on a connection with others
    time_point deadline;     //!< the caller waits no longer
};

enum class refusal_reason {
    no_configuration, //!< nothing is known yet
    no_upstream,      //!< no upstream of the service may get the request
    overloaded,       //!< no upstream could answer in time
    deadline_passed,  //!< it could not be sent in time
    paused            //!< this process stood still while the request waited
};
std::string_view to_string(refusal_reason reason);

struct start_attempt_action
{
    flow_id flow;
    std::uint64_t attempt = 0; //!< number of this send within the request
    upstream_id upstream;
    std::string address;
    time_point deadline;
    bool needs_recent_connection = false; //!< the request may run once only
};

struct cancel_attempt_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
};

//! The upstream's answer to this send goes to the caller as it is.
struct deliver_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
};

//! The request did not run and never will.
struct refuse_action
{
    flow_id flow;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{};
};

struct no_route_action
{
    flow_id flow;
};

//! The request may have run, and no answer can be given.
struct fail_action
{
    flow_id flow;
    bool is_timeout = false;
};

using action = std::variant<start_attempt_action, cancel_attempt_action, deliver_action, refuse_action,
                            no_route_action, fail_action>;

enum class transport_status {
    complete,
    connect_failed, //!< no byte of the request left
    broken,
    timed_out
};

struct attempt_outcome
{
    transport_status status = transport_status::broken;
    bool is_not_executed = false;   //!< the upstream said that it did not run the request
    bool is_misdirected = false;    //!< the address belongs to another upstream now
    bool is_server_failure = false; //!< a 5xx answer
    bool has_load = false;
    std::int64_t running = 0; //!< requests that the upstream runs, of all instances
    std::int64_t waiting = 0;
};
} // namespace buckthornhill::proxy
