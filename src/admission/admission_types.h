#pragma once

#include <chrono>
#include <map>
#include <string_view>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "quota/quota_types.h"

//! The owner's admission decisions: an exact count of slots, a bounded queue ordered by class and deadline,
//! and credits for other regions.
namespace buckthornhill::admission {
using quota::request_class;

enum class request_origin {
    local, //!< the caller's region is the owner's region
    remote //!< shifted here from another region
};

enum class refusal_reason {
    none,
    overloaded, //!< no slot would be free before the deadline
    queue_full,
    no_upstream, //!< no upstream owned here can serve the request
    no_credit,   //!< a request of another region that exceeds the granted credits
    deadline_passed,
    resynchronizing, //!< this instance was paused and does not admit requests yet
    quarantined,     //!< the request crashed upstreams
    ticket_required,
    ticket_invalid,
    leaving,
    upstream_shed,
    upstream_unreachable,
    link_full //!< the owner's share of the link to the caller's region is used up
};

std::string_view to_string(refusal_reason reason);
refusal_reason parse_refusal_reason(std::string_view text);

struct admission_request
{
    flow_id flow;
    service_id service;
    request_class priority = request_class::no_plan;
    request_origin origin = request_origin::local;
    instance_id from; //!< the entry instance that forwarded the request
    time_point deadline;
    bool is_idempotent = false;
    std::uint64_t affinity = 0; //!< hash of the target; equal targets prefer the same upstream
    upstream_id avoid;          //!< an upstream that already failed this request
};

//! Whether an owned upstream may get requests.
enum class admittance {
    open,
    unverified, //!< newly owned: requests wait for its first probe
    closed
};

enum class admission_kind { started, queued, refused };

struct admission_decision
{
    admission_kind kind = admission_kind::refused;
    upstream_id upstream;
    refusal_reason reason = refusal_reason::none;
    duration retry_after{};
};

//! The decision about a request that had been queued.
struct admission_event
{
    flow_id flow;
    admission_decision decision;
};

enum class attempt_result { completed, shed, failed, crashed };

//! State of an owner's upstreams of one service, for peers and look-ups.
struct service_report
{
    service_id service;
    std::int64_t limit = 0; //!< slots usable now
    std::int64_t slots = 0; //!< slots owned
    std::int64_t in_flight = 0;
    std::int64_t queued = 0;
    std::int64_t mean_service_us = 0;
    std::int64_t spare = 0; //!< slots that other regions may use, granted or not
};

struct admission_configuration
{
    double headroom_fraction = 0.1;                  //!< of owned slots, reserved for this region
    std::int64_t max_queue_per_slot = 4;             //!< the queue length limit is this times the owned slots
    std::chrono::milliseconds slow_start_time{2000}; //!< for a new upstream or one that is available again
    std::chrono::milliseconds shed_backoff{500};     //!< how long one shed response lowers a limit by one
    std::chrono::milliseconds credit_lifetime{2000};
    std::chrono::milliseconds load_report_lifetime{1000};
};
} // namespace buckthornhill::admission
