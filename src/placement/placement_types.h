#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "global/ids.h"
#include "global/place.h"
#include "global/units.h"

//! The choice of an upstream: the same object goes to the same few upstreams, whichever instance chooses.
namespace buckthornhill::placement {
using object_hash = strong_number<struct object_hash_tag, std::uint64_t>;

struct placement_configuration
{
    std::chrono::microseconds domain_distance{5000};  //!< one way between failure domains
    std::chrono::microseconds region_distance{12000}; //!< one way between regions
    std::size_t upstreams_per_object =
        2; //!< upstreams that share an object; the rest only when both are full
    //! Requests at an upstream for each slot, waiting ones included, by rank: an urgent request may wait
    //! where a less urgent one may not. Work on an unknown object takes about three times as long as on a
    //! known one, so two others ahead at the upstream that knows it cost less than a move.
    std::vector<double> load_limit_by_priority{3.0, 2.75, 2.5};
    std::chrono::milliseconds report_full_weight_age{200}; //!< a load report counts in full for so long
    std::chrono::milliseconds report_max_age{1200};        //!< and not at all after so long
    std::chrono::milliseconds health_half_life{4000}; //!< half of what went wrong is forgotten in this time
    std::chrono::milliseconds min_ejection{300};
    std::chrono::milliseconds max_ejection{3000};
    int failures_to_eject = 3; //!< in a row; an address that refuses connections is ejected at once
    //! An upstream that refused a request for want of room counts as full for so long, or until it answers:
    //! about the time in which one of a few slots comes free.
    std::chrono::milliseconds at_capacity_duration{200};
    std::size_t max_remembered_objects = 64; //!< by upstream, as handled there lately
};

struct placement_request
{
    service_id service;
    std::string route;
    object_hash object;
    bool has_affinity = false;
    int rank = 0;
    std::chrono::milliseconds objective{0};
    const std::set<region_id>* homes = nullptr;  //!< null or empty when every region may run it
    std::vector<upstream_id> excluded_upstreams; //!< tried already
    double cold_requests_per_second = 0; //!< requests a second that a cold upstream bears; 0 means no limit
};

struct placement_choice
{
    upstream_id upstream; //!< empty when no upstream may get the request now
    bool has_room = false;
    bool is_warm = false;        //!< believed to have handled the object lately
    duration expected_latency{}; //!< until the answer, wait and distance included
    duration expected_work{};    //!< the part of `expected` that the upstream works
};

enum class upstream_attempt_result {
    answered,
    rejected,        //!< the upstream did not run it, being full
    failed,          //!< the upstream ran it and answered with a failure
    unreachable,     //!< no connection
    connection_lost, //!< the connection ended without an answer
    timed_out,       //!< no answer until the deadline
    cancelled        //!< given up here; says nothing of the upstream
};
} // namespace buckthornhill::placement
