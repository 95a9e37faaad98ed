#pragma once

#include <optional>
#include <string>

#include "http/http_client.h"
#include "http/http_types.h"
#include "node/node_types.h"

//! Between HTTP messages and the typed events and actions of the decisions.
namespace buckthornhill::daemon {
struct translation_limits
{
    std::chrono::milliseconds default_deadline;
    std::chrono::milliseconds max_deadline;
};

//! Throws `requests_error` when a header cannot be parsed.
node::request_facts facts_of(const http::http_request& request, flow_id flow, time_point now,
                             const translation_limits& limits);
node::forwarded_facts forwarded_facts_of(const http::http_request& request);

http::http_request upstream_request_of(const http::http_request& request, time_point now, time_point deadline,
                                       const std::string& request_id);
http::http_request peer_request_of(const http::http_request& request, const node::start_peer_action& action,
                                   const membership::member_description& self, const std::string& peer_key,
                                   time_point now, time_point deadline);

node::upstream_result upstream_result_of(http::call_result result, const std::string& request_id);
node::peer_result peer_result_of(http::call_result result);
//! The answer to a caller or a peer. Moves the body out of an answer that nobody else holds.
http::http_response response_of(const node::response_action& answer);
http::http_response lookup_response_of(const node::lookup_response& answer);
} // namespace buckthornhill::daemon
