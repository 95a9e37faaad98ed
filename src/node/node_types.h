#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission_types.h"
#include "health/health_types.h"
#include "membership/membership_types.h"
#include "peers/peers_types.h"
#include "quarantine/quarantine_types.h"
#include "requests/requests_types.h"
#include "shift/shift_types.h"
#include "steering/steering_types.h"

//! The decisions of one entry instance as a state machine: it takes timestamped events and returns actions.
//! It has no socket, thread, clock or random source of its own, so the daemon and a replayed trace run the
//! same code.
namespace buckthornhill::node {
struct node_configuration
{
    membership::membership_configuration membership;
    admission::admission_configuration admission;
    steering::steering_configuration steering;
    shift::shift_configuration shift;
    health::health_configuration health;
    quarantine::quarantine_configuration quarantine;
    requests::requests_configuration requests;
    std::chrono::milliseconds freeze_threshold{
        1500}; //!< a longer gap between two events means that the process was paused
    std::chrono::milliseconds leave_linger{4000}; //!< shortest time that a leaving instance keeps forwarding
    std::chrono::milliseconds confirmation_lifetime{
        5000}; //!< versions confirmed longer ago are reported as unconfirmed
    std::chrono::milliseconds max_crash_note_wait{1000}; //!< for peers to confirm that they know of a crash
    std::chrono::milliseconds response_grace{100}; //!< after the deadline, for an owner's refusal to arrive
    std::uint64_t max_lookup_tickets = 16;         //!< sent in one look-up response
    std::uint64_t tickets_per_response = 4;        //!< sent with each response to a non-idempotent request
    std::uint64_t tickets_per_peer_block = 256;    //!< lent to a peer at a time
    std::chrono::milliseconds lookup_ttl{2000};
    std::size_t max_lookup_entries = 5;
    std::size_t reserved_remote_entries = 2; //!< of `max_lookup_entries`, for instances of other regions
};

//! The properties of a request that the decisions depend on; the I/O code keeps its body and headers.
struct request_facts
{
    flow_id flow;
    service_id service;
    customer_id customer;
    region_id client_region; //!< empty when the caller did not give one
    bool is_idempotent = false;
    time_point deadline;
    fingerprint request_fingerprint;
    std::uint64_t affinity = 0;
    byte_count body_size;
    std::optional<requests::ticket> ticket; //!< absent on a non-idempotent request without one
    bool is_forwarded_resend = false; //!< a peer forwarded it because of its ticket; not forwarded again
};

//! The properties that a peer adds to a request when it forwards it to an owner.
struct forwarded_facts
{
    instance_id forwarder;
    region_id forwarder_region;
    admission::request_class priority = admission::request_class::no_plan;
};

enum class peer_request_kind {
    admit, //!< to the owner of an upstream
    resend //!< to the incarnation that its ticket names
};

struct start_upstream_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
    upstream_id upstream;
    std::string address;
    time_point deadline;
    bool needs_fresh_connection = false;
};

struct start_peer_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
    peer_request_kind kind = peer_request_kind::admit;
    instance_id peer;
    std::string address;
    admission::request_class priority = admission::request_class::no_plan;
    time_point deadline;
};

struct cancel_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
};

struct response_action
{
    flow_id flow;
    requests::outcome result = requests::outcome::not_executed;
    admission::refusal_reason reason = admission::refusal_reason::none;
    duration retry_after{};
    requests::response_ptr upstream_response;
    requests::ticket_block tickets;
    std::optional<admission::service_report> report; //!< set on responses to a peer: the owner's state
};

struct heartbeat_action
{
    instance_id peer;
    std::string address;
    peers::heartbeat message;
};

struct fetch_document_action
{
    std::string address;
    lists::document_name name = lists::document_name::plans;
};

struct probe_action
{
    upstream_id upstream;
    std::string address;
};

struct handover_action
{
    instance_id peer;
    std::string address;
    requests::ticket_handover handover;
};

using action = std::variant<start_upstream_action, start_peer_action, cancel_action, response_action,
                            heartbeat_action, fetch_document_action, probe_action, handover_action>;

enum class attempt_status {
    complete,
    connect_failed, //!< nothing was sent
    broken,
    timed_out,
    cancelled
};

struct upstream_result
{
    attempt_status status = attempt_status::broken;
    bool is_shed = false;              //!< the upstream reported that it did not run the request
    bool is_leaving = false;           //!< the upstream reported that it is draining
    std::int64_t reported_in_use = -1; //!< negative when the response carried no load
    requests::response_ptr upstream_response;
};

struct peer_result
{
    attempt_status status = attempt_status::broken;
    requests::outcome result = requests::outcome::unknown;
    admission::refusal_reason reason = admission::refusal_reason::none;
    duration retry_after{};
    requests::response_ptr upstream_response;
    requests::ticket_block tickets;
    std::optional<admission::service_report> report;
};

struct probe_result
{
    bool is_alive = false;
    bool is_leaving = false;
    std::int64_t reported_in_use = -1;
};

struct lookup_entry
{
    instance_id id;
    region_id region;
    std::string address;
};

//! The entry instances that a caller should use, in order of preference, and tickets of the first one.
struct lookup_response
{
    std::vector<lookup_entry> entries;
    requests::ticket_block tickets;
    std::chrono::milliseconds ttl{0};
};
} // namespace buckthornhill::node
