#pragma once

#include "gateway/gateway_dialect.h"
#include "gateway/gateway_settings.h"
#include "gateway/witness_search.h"
#include "http/http_types.h"
#include "proxy/proxy_types.h"

//! Translates between HTTP messages and the input of the proxy core.
namespace buckthornhill::gateway {
//! Enough for a collection of several thousand upstreams.
inline constexpr std::size_t max_peer_message_bytes = 8UL * 1024 * 1024;

//! The request's Host header without the port.
std::string host_of(const http::http_request& request);
//! The proxy core's input for a caller's request.
proxy::request_facts facts_of(const http::http_request& request, const request_metadata& metadata,
                              flow_id flow, time_point arrived_at);
//! Whether a response that arrived on the connection of a request belongs to it. Upstreams repeat the id, so
//! bytes without one belong to no request, whatever they say.
bool is_response_to(const std::string& request_id, const response_metadata& metadata);
//! The proxy core's input for the result of a call to an upstream. `metadata` is used only when the call is
//! complete.
proxy::attempt_outcome outcome_of(const http::call_result& result, const response_metadata& metadata);
//! The budget for bodies that follows from the memory of the process; null when that is not known.
http::memory_budget_ptr make_memory_budget(const gateway_settings& settings);
//! Moves the body out of `request`, together with its memory reservation, so that attempts can share it.
std::shared_ptr<const std::string> take_body(http::http_request& request);
http::client_limits upstream_limits(const gateway_settings& settings, const http::memory_budget_ptr& memory);
//! Limits for calls to other instances, whose messages may contain whole collections.
http::client_limits peer_limits(const gateway_settings& settings, std::chrono::milliseconds connect_timeout);
//! Times after which witnesses that run have been heard, with the intervals of this deployment.
witness_search_configuration witness_search_limits(const gateway_settings& settings);
http::server_limits caller_limits_of(const gateway_settings& settings, const routing::caller_limits& limits,
                                     const http::memory_budget_ptr& memory);
} // namespace buckthornhill::gateway
