#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "http/http_client.h"
#include "http/http_exchange.h"

namespace buckthornhill::gateway {
//! I/O state of one request from its arrival to its response.
struct gateway_flow
{
    http::exchange_ptr exchange;
    std::shared_ptr<const std::string> body; //!< of the request, shared by its attempts; null when empty
    std::string request_id;
    std::string object;
    std::string route;
    fingerprint request_fingerprint;
    time_point arrived_at;
    account_id account;   //!< that the latest attempt was sent for
    upstream_id upstream; //!< of the latest attempt
    upstream_run run;
    http::endpoint upstream_address;
    std::vector<http::endpoint> addresses; //!< of all attempts so far
    std::uint64_t attempt = 0;
    http::call_id call;
    http::http_response response; //!< to the latest attempt
};
} // namespace buckthornhill::gateway
