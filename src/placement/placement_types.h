#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "capacity/capacity_types.h"
#include "global/ids.h"
#include "global/place.h"
#include "global/units.h"

//! Chooses the upstream for a request: all instances send requests for the same object to the same few
//! upstreams.
namespace buckthornhill::placement {
using object_hash = strong_number<struct object_hash_tag, std::uint64_t>;

struct placement_configuration
{
    std::chrono::microseconds domain_distance{5000};  //!< one-way latency between failure domains
    std::chrono::microseconds region_distance{12000}; //!< one-way latency between regions
    //! Upstreams that share the requests for an object; others are used only when these have no room.
    std::size_t upstreams_per_object = 2;
    //! Maximum number of requests per slot of an upstream, waiting ones included, by priority: a more urgent
    //! request may join a longer queue. Work on an object that is cold at the upstream takes about three
    //! times as long as on a warm one, so waiting behind two requests at a warm upstream costs less than
    //! using a cold one.
    std::vector<double> load_limit_by_priority{3.0, 2.75, 2.5};
    std::chrono::milliseconds report_full_weight_age{200}; //!< up to this age a load report has full weight
    std::chrono::milliseconds report_max_age{1200};        //!< from this age on it has no weight
    std::chrono::milliseconds health_half_life{4000};      //!< of the failure and slowness averages
    std::chrono::milliseconds min_ejection{300};
    std::chrono::milliseconds max_ejection{3000};
    int failures_to_eject = 3; //!< in a row; an unreachable upstream is ejected at once
    //! How long an upstream that rejected a request counts as at capacity, unless it answers a request
    //! earlier: about the time in which one of a few slots becomes free.
    std::chrono::milliseconds at_capacity_duration{200};
    std::size_t max_remembered_objects = 64; //!< per upstream, as handled there lately
    //! Longest time for which an upstream that turns requests away gets none.
    std::chrono::milliseconds max_pause{600000};
    //! Learn how many requests each upstream takes well and how fast it is, and use that in place of its
    //! slots.
    bool learns_capacity = false;
    //! Shortest time between two notes of a changed capacity of one upstream.
    std::chrono::milliseconds capacity_note_interval{10000};
};

//! An entry instance that is registered or was heard from, live or not.
struct known_instance
{
    instance_id id;
    region_id region;
    bool has_left = false; //!< it announced its end and is gone
    duration silent_for{}; //!< 0 while it is in sight
};

struct placement_request
{
    service_id service;
    std::string route;
    object_hash object;
    bool has_affinity = false;
    int priority = 0;
    std::chrono::milliseconds objective{0};
    //! Null or empty when every region may run the request.
    const std::set<region_id>* allowed_regions = nullptr;
    std::vector<upstream_id> excluded_upstreams; //!< already tried for this request
    double cold_requests_per_second = 0;         //!< that a cold upstream can handle; 0 means no limit
};

struct placement_choice
{
    upstream_id upstream; //!< empty when no upstream may receive the request now
    bool has_room = false;
    bool is_warm = false;        //!< is expected to have handled the object lately
    duration expected_latency{}; //!< until the response: queue, work, distance and cost of likely failures
    duration expected_work{};    //!< part of `expected_latency` in which the upstream works on the request
    duration usual_latency{};    //!< `expected_latency` of an upstream that is neither slow nor failing
    duration cost{};             //!< `expected_latency` and the delay that cold work causes to later requests
    duration distance{};         //!< part of `expected_latency` in which request and response travel
    slot_count slots;
    //! Requests of all instances at the upstream; empty without a recent load report.
    std::optional<double> load_at_sending;
};

//! Load of an upstream by its own report, over the requests of all instances.
struct load_report
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0; //!< 0 when the upstream does not report them
    //! How long work takes on the upstream's machine at this moment, 1.0 as usual; more is slower.
    std::optional<double> pace = std::nullopt;
};

//! What an upstream says of itself in a response to one request, for all requests after it.
struct upstream_signals
{
    //! The rate that it takes from all instances together, for as long as its responses say so.
    std::optional<double> requests_per_second;
    //! It ends soon and must get no further requests.
    bool is_leaving = false;
    //! It turned the request away and takes none from this instance for so long.
    std::optional<std::chrono::milliseconds> pause;
};

struct upstream_estimate
{
    upstream_id upstream;
    capacity::capacity_estimate capacity;
};

//! What the signals of a response changed.
struct signal_effects
{
    bool has_limit_changed = false; //!< a limit began or ended
    bool has_pause_begun = false;
};

enum class upstream_attempt_result {
    answered,
    rejected,        //!< the upstream was at capacity and did not run the request
    failed,          //!< the upstream ran the request and returned a server error
    unreachable,     //!< no connection, or the address belongs to another upstream
    connection_lost, //!< the connection ended without a response
    timed_out,       //!< no response before the deadline
    cancelled        //!< by this instance; does not affect the health of the upstream
};
std::string_view to_string(upstream_attempt_result result);
} // namespace buckthornhill::placement
