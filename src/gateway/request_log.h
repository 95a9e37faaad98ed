#pragma once

#include <string>

#include "gateway/gateway_flow.h"
#include "proxy/proxy_core.h"

namespace buckthornhill::gateway {
//! The result of a request, as it is logged.
struct request_completion
{
    std::string outcome;
    std::string reason;
    unsigned status = 0; //!< 0 when the caller disconnected before the response
    duration elapsed{};
    routing::configuration_version configuration; //!< in force when the request ended
    object_version upstreams_version;             //!< store version of the upstream list that was used
};

//! Logs one line per request with its outcome and the data that led to it.
void log_completion(const gateway_flow& flow, const request_completion& completion);
//! Logs one line for a request that is sent to another upstream: why, and by which configuration.
void log_further_attempt(const gateway_flow& flow, const proxy::start_attempt_action& action);
//! Logs one line for an attempt that got no response.
void log_failed_attempt(const gateway_flow& flow, std::uint64_t attempt, const std::string& detail);
} // namespace buckthornhill::gateway
