#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_types.h"
#include "http/http_types.h"
#include "placement/placement_types.h"
#include "routing/routing_types.h"
#include "store/collection_types.h"

namespace buckthornhill::gateway {
//! What a caller's request carries in addition to its method, target and body.
struct request_metadata
{
    std::string request_id;
    std::string object; //!< the object that the request refers to; empty when it names none
    std::optional<std::chrono::milliseconds> time_left; //!< how much longer the caller waits
    std::string caller;    //!< the account in whose name it is sent; empty when it names none
    std::string api_key{}; //!< must not be logged
};

//! What the gateway tells an upstream in addition to the caller's request.
struct upstream_request_metadata
{
    std::chrono::milliseconds time_left{0};
    upstream_id upstream;
    //! No value where the configuration has no accounts, and the caller's headers pass as they are. With a
    //! value the key is left out, and an empty one names no account.
    std::optional<account_id> account;
};

//! What an upstream's response carries in addition to its status and body.
struct response_metadata
{
    std::string request_id;       //!< of the answered request; empty when the upstream did not send it
    bool is_not_executed = false; //!< the upstream did not execute the request
    bool is_misdirected = false;  //!< this address now belongs to another upstream
    //! Callers take the status for a guarantee that the request was not executed.
    bool promises_not_executed = false;
    bool is_authentic = true; //!< false for a success response without the upstream's signature
    std::optional<placement::load_report> load;
    placement::upstream_signals signals;
};

enum class refusal_kind {
    unavailable, //!< another instance may run the request, or this one later
    over_limit   //!< the account has used up its limit, at all instances
};

struct lookup_query
{
    region_id region;
    domain_id domain;
};

//! Translation between the gateway's types and the platform's HTTP messages and stored objects. A platform
//! adapter supplies the functions. They have no side effects beyond their arguments; those that decode throw
//! `buckthornhill::error` on malformed input.
struct gateway_dialect
{
    std::function<request_metadata(const http::http_request&)> read_request;
    std::function<void(http::http_request&, const upstream_request_metadata&)> write_upstream_headers;
    std::function<response_metadata(const http::http_response&)> read_response;
    //! A response that guarantees that the request was not executed and never will be.
    std::function<http::http_response(std::chrono::milliseconds retry_after, refusal_kind)> write_refusal;
    std::function<bool(const http::http_request&)> is_readiness_check;
    std::function<std::optional<lookup_query>(const http::http_request&)> read_lookup;
    std::function<http::http_response(const std::vector<std::string>& addresses,
                                      std::chrono::milliseconds ttl)>
        write_lookup;
    //! Name of the object that holds the operator's configuration; other objects of its collection hold none.
    std::string configuration_name;
    std::function<routing::routing_configuration(const std::string& object)> decode_configuration;
    std::function<fleet::upstream_entry(const std::string& name, const std::string& object)> decode_upstream;
    store::store_dialect store;
};
} // namespace buckthornhill::gateway
