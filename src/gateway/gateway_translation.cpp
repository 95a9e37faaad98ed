#include "gateway/gateway_translation.h"

#include <utility>

#include "global/hash.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::size_t platform_descriptors = 200;            //!< reserved by the platform
constexpr std::size_t internal_descriptors = 300;            //!< peers, upstreams, the store, look-ups
constexpr std::chrono::milliseconds default_time_left{5000}; //!< when the request carries no deadline
constexpr unsigned first_server_failure_status = 500;
//! Half of the memory is left to the program, its view of the fleet and the system's socket buffers.
constexpr std::size_t body_memory_divisor = 2;
//! Of the memory for bodies. Requests cannot take what the responses of running requests need: a request that
//! is refused has not run, while a response that is refused is lost.
constexpr std::size_t request_memory_divisor = 2;
//! Of the memory for bodies. Four peers that are slow with the largest requests cannot block the others'
//! responses, and uploads of 360 KB stay far below the share of an instance of 112 MB (7 MB).
constexpr std::size_t message_memory_divisor = 8;
//! Of each of the system's two buffers of a caller's connection, which may grow to megabytes otherwise.
constexpr std::size_t socket_buffer_bytes = 128UL * 1024;
} // namespace

std::string host_of(const http::http_request& request)
{
    const auto host = http::find_header(request.headers, "Host");
    return std::string(host.substr(0, host.find(':')));
}

proxy::request_facts facts_of(const http::http_request& request, const request_metadata& metadata,
                              flow_id flow, time_point arrived_at)
{
    proxy::request_facts facts;
    facts.flow = flow;
    facts.host = host_of(request);
    facts.path = http::path_of(request.target);
    facts.request_fingerprint =
        fingerprint_of({request.method, facts.host, request.target, metadata.caller, request.body});
    facts.key = accounts::api_key(metadata.api_key);
    facts.has_object = !metadata.object.empty();
    facts.object = placement::object_hash(facts.has_object ? hash_text(metadata.object, hash_text(facts.host))
                                                           : hash_text(metadata.request_id));
    facts.arrived_at = arrived_at;
    facts.deadline = arrived_at + metadata.time_left.value_or(default_time_left);
    return facts;
}

bool is_response_to(const std::string& request_id, const response_metadata& metadata)
{
    return request_id.empty() || metadata.request_id == request_id;
}

proxy::attempt_outcome outcome_of(const http::call_result& result, const response_metadata& metadata)
{
    proxy::attempt_outcome outcome;
    switch (result.status) {
    case http::call_status::complete:
        outcome.status = proxy::transport_status::complete;
        break;
    case http::call_status::connect_failed:
        outcome.status = proxy::transport_status::connect_failed;
        return outcome;
    case http::call_status::timed_out:
        outcome.status = proxy::transport_status::timed_out;
        return outcome;
    case http::call_status::broken:
        outcome.is_connection_lost = true;
        return outcome;
    case http::call_status::cancelled:
        return outcome;
    }
    if (metadata.is_authentic) {
        outcome.signals = metadata.signals;
    }
    //! NOTE A success response without the upstream's signature did not come from the upstream. A status that
    //! promises more than the upstream said must not reach the caller.
    const bool promises_too_much = metadata.promises_not_executed && !metadata.is_not_executed;
    if (!metadata.is_authentic || promises_too_much) {
        outcome.status = proxy::transport_status::broken;
        return outcome;
    }
    outcome.is_not_executed = metadata.is_not_executed;
    outcome.is_misdirected = metadata.is_misdirected;
    outcome.is_server_failure = result.response.status >= first_server_failure_status;
    outcome.load = metadata.load;
    return outcome;
}

http::memory_budget_ptr make_memory_budget(const gateway_settings& settings)
{
    if (settings.max_memory_bytes == 0) {
        return nullptr;
    }
    http::memory_limits limits;
    limits.total_bytes = settings.max_memory_bytes / body_memory_divisor;
    limits.request_bytes = limits.total_bytes / request_memory_divisor;
    limits.message_bytes = limits.total_bytes / message_memory_divisor;
    return http::memory_budget_ptr(new http::memory_budget(limits));
}

std::shared_ptr<const std::string> take_body(http::http_request& request)
{
    if (request.body.empty()) {
        return nullptr;
    }
    struct kept_body
    {
        std::string bytes;
        http::memory_reservation_ptr memory;
    };
    const auto kept = std::make_shared<const kept_body>(
        kept_body{std::exchange(request.body, {}), std::move(request.memory)});
    return {kept, &kept->bytes};
}

http::client_limits upstream_limits(const gateway_settings& settings, const http::memory_budget_ptr& memory)
{
    http::client_limits limits;
    limits.memory = memory;
    limits.idle_timeout = settings.upstream_idle_timeout;
    limits.recent_idle = settings.proven_connection_age;
    limits.connect_timeout = settings.upstream_connect_timeout;
    limits.unacknowledged_timeout = settings.unacknowledged_timeout;
    return limits;
}

http::client_limits peer_limits(const gateway_settings& settings, std::chrono::milliseconds connect_timeout)
{
    http::client_limits limits;
    limits.max_body_bytes = max_peer_message_bytes;
    limits.connect_timeout = connect_timeout;
    limits.unacknowledged_timeout = settings.unacknowledged_timeout;
    limits.max_idle_per_endpoint = 2;
    return limits;
}

witness_search_configuration witness_search_limits(const gateway_settings& settings)
{
    witness_search_configuration limits;
    limits.assumption_delay = settings.watcher.recovery_bound;
    limits.probation = settings.membership.gone_timeout;
    return limits;
}

http::server_limits caller_limits_of(const gateway_settings& settings, const routing::caller_limits& limits,
                                     const http::memory_budget_ptr& memory)
{
    http::server_limits server_limits;
    server_limits.memory = memory;
    server_limits.socket_buffer_bytes = memory == nullptr ? 0 : socket_buffer_bytes;
    server_limits.max_header_bytes = limits.max_header_bytes;
    server_limits.max_body_bytes = limits.max_body_bytes;
    server_limits.header_timeout = limits.header_timeout;
    server_limits.idle_timeout = limits.idle_timeout;
    const auto reserved = platform_descriptors + internal_descriptors;
    server_limits.max_connections = settings.max_descriptors > 2 * reserved
                                        ? settings.max_descriptors - reserved
                                        : settings.max_descriptors / 2;
    return server_limits;
}
} // namespace buckthornhill::gateway
