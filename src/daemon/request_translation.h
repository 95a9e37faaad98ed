#pragma once

#include <optional>
#include <string>

#include "http/http_client.h"
#include "http/http_types.h"
#include "node/node_types.h"

//! Converts HTTP messages to the typed events of `entry_node` and its actions to HTTP messages.
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
//! The response to a caller or a peer. Moves headers and body out of the stored response when no other owner
//! shares it.
http::http_response response_of(const node::response_action& answer);
http::http_response lookup_response_of(const node::lookup_response& answer);
} // namespace buckthornhill::daemon
