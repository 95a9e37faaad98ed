#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "accounts/accounts_types.h"
#include "global/ids.h"
#include "global/units.h"
#include "placement/placement_types.h"
#include "quarantine/quarantine_types.h"
#include "rate_limits/rate_limits_types.h"
#include "routing/routing_types.h"

//! State machine for the requests of callers to upstreams, without sockets or clocks. It takes events with
//! their time and returns actions, so that the daemon and the tests run the same decisions.
namespace buckthornhill::proxy {
struct proxy_configuration
{
    placement::placement_configuration placement;
    double retry_ratio = 0.2;                      //!< retries per first attempt, over all instances
    std::chrono::milliseconds retry_window{10000}; //!< sliding window for the ratio
    double retry_burst = 50;                       //!< retries beyond the ratio, over all instances
    //! Part of ratio and burst that is used; the rest is a margin for instances with different views.
    double usable_retry_share = 0.6;
    //! Part of the objective that a request may wait in this instance for room.
    double max_wait_share = 0.125;
    int max_unsent_attempts = 4; //!< of one request at unreachable upstreams
    std::chrono::milliseconds min_retry_after{50};
    std::chrono::milliseconds max_retry_after{1000};
    //! When there is no configuration or no usable upstream.
    std::chrono::milliseconds startup_retry_after{300};
    //! A request is refused after three crashes: upstreams end for other reasons too, and two of these may
    //! well meet the same request.
    quarantine::quarantine_configuration quarantine{.crashes_to_quarantine = 3,
                                                    .simultaneous_span = std::chrono::milliseconds(1000),
                                                    .crashes_to_quarantine_at_once = 5,
                                                    .crashes_to_run_singly = 2,
                                                    .max_suspects = 4096,
                                                    .suspect_lifetime = std::chrono::seconds(60),
                                                    .first_quarantine = std::chrono::seconds(60),
                                                    .max_quarantine = std::chrono::seconds(3600),
                                                    .quarantine_growth = 4,
                                                    .trial_limit = std::chrono::seconds(10),
                                                    .completion_credit = std::chrono::milliseconds(5000)};
    //! For which a request whose connection was lost is held until it is known whether the upstream has ended
    //! and whether others ended under the same request: some round trips between regions.
    std::chrono::milliseconds max_verdict_wait{150};
    //! For the instance that permits the single runs of a suspect to respond.
    std::chrono::milliseconds max_permission_wait{500};
    std::chrono::milliseconds suspect_retry_after{1000}; //!< while another one with the same content runs
    //! Longer than `rate_limits::borrower_configuration::answer_timeout`, after which there is an answer.
    std::chrono::milliseconds max_token_wait{500};
    accounts::freshness_configuration freshness;
    //! For which a request with an unknown key is held until the configuration is confirmed, which may
    //! contain the key: relayed confirmations take somewhat less with the usual bound.
    std::chrono::milliseconds max_confirmation_wait{3000};
    std::size_t max_unknown_keys_held = 256; //!< requests; further ones are refused at once
};

//! Properties of a request that the decisions depend on; headers and body stay in the I/O layer.
struct request_facts
{
    flow_id flow;
    std::string host;
    std::string path;                //!< without the query
    fingerprint request_fingerprint; //!< of method, host, target, caller and body
    accounts::api_key key;           //!< empty when the caller sent none
    placement::object_hash object;
    bool has_object = false; //!< the caller named an object; else `object` only distributes the load
    time_point arrived_at;   //!< before `on_request` if it had to wait behind others on its connection
    time_point deadline;     //!< when the caller stops waiting
};

enum class refusal_reason {
    no_configuration, //!< no configuration was received yet
    no_upstream,      //!< no upstream of the service may receive the request
    overloaded,       //!< no upstream is expected to respond in time
    deadline_passed,  //!< before the request could be sent
    paused,           //!< this process was suspended while the request waited
    quarantined,      //!< upstreams ended under requests with the same content
    //! It is not known whether the account in force for the key is the current one.
    unconfirmed_configuration,
    over_limit,   //!< the account has used up its limit
    limit_unknown //!< the instance that lends the account's tokens does not answer
};
std::string_view to_string(refusal_reason reason);

//! The request must not run, also when it is sent again.
enum class reject_reason {
    unknown_key,     //!< or none
    no_common_region //!< no region is allowed by both the account and the route
};
std::string_view to_string(reject_reason reason);

struct start_attempt_action
{
    flow_id flow;
    std::uint64_t attempt = 0; //!< number of this attempt within the request
    upstream_id upstream;
    upstream_run run;
    std::string address;
    time_point deadline;
    bool needs_recent_connection = false; //!< the request may run at most once; see `http::connection_choice`
    //! For the log: by which the request was bound to its route, and how the attempt before ended.
    routing::configuration_version configuration;
    std::optional<placement::upstream_attempt_result> previous_result;
    //! No value where the configuration has no accounts; an empty id on public routes.
    std::optional<account_id> account;
};

struct cancel_attempt_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
};

//! Forwards the upstream's response to this attempt to the caller unchanged.
struct deliver_action
{
    flow_id flow;
    std::uint64_t attempt = 0;
};

//! The request did not run and will not run.
struct refuse_action
{
    flow_id flow;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{};
};

struct reject_action
{
    flow_id flow;
    reject_reason reason = reject_reason::unknown_key;
};

struct no_route_action
{
    flow_id flow;
};

//! The request may have run, but there is no response to forward.
struct fail_action
{
    flow_id flow;
    bool is_timeout = false;
};

//! Asks whether a suspect may run, of which only one may run at a time in the system. The answer goes to
//! `on_permission`.
struct request_permission_action
{
    flow_id flow;
    fingerprint request_fingerprint;
};

//! A suspect that was let run has ended without having run, so the next one may.
struct end_trial_action
{
    fingerprint request_fingerprint;
};

//! Asks for a token of the account's limit. The answer goes to `on_tokens`.
struct request_tokens_action
{
    flow_id flow;
    account_id account;
};

//! The request no longer waits for a token.
struct cancel_tokens_action
{
    flow_id flow;
    account_id account;
};

struct request_token
{
    account_id account;
    rate_limits::held_token token;
};

//! The request with this token did not run and will not.
struct return_token_action
{
    request_token token;
};

//! An upstream ended while these requests were in progress there. Once the other instances know it,
//! `on_crashes_reported` is due.
struct report_crashes_action
{
    upstream_run run;
    std::vector<quarantine::crash_note> notes;
};

//! A suspect completed.
struct clear_suspect_action
{
    quarantine::suspect_report known;
};

enum class signal_change { leaving, limit_named, limit_over, paused };
std::string_view to_string(signal_change change);

//! What an upstream says of itself in its responses has changed; for the log.
struct signal_changed_action
{
    upstream_id upstream;
    signal_change change = signal_change::leaving;
    placement::upstream_signals signals;
};

//! What is learned of an upstream's capacity has changed; for the log.
struct capacity_changed_action
{
    placement::upstream_estimate learned;
};

using action =
    std::variant<start_attempt_action, cancel_attempt_action, deliver_action, refuse_action, no_route_action,
                 fail_action, signal_changed_action, request_permission_action, report_crashes_action,
                 clear_suspect_action, end_trial_action, reject_action, request_tokens_action,
                 cancel_tokens_action, return_token_action, capacity_changed_action>;

enum class transport_status {
    complete,
    connect_failed, //!< no byte of the request was sent
    broken,
    timed_out
};

struct attempt_outcome
{
    transport_status status = transport_status::broken;
    //! The connection was lost while the request was in progress, as happens when an upstream ends.
    bool is_connection_lost = false;
    bool is_not_executed = false;               //!< the upstream reported that it did not run the request
    bool is_misdirected = false;                //!< the address belongs to another upstream now
    bool is_server_failure = false;             //!< a 5xx response
    std::optional<placement::load_report> load; //!< empty when the response has no report
    std::optional<placement::upstream_signals> signals; //!< empty without a whole response of the upstream
};
} // namespace buckthornhill::proxy
