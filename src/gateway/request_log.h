#pragma once

#include <string>

#include "gateway/gateway_flow.h"
#include "proxy/proxy_core.h"

namespace buckthornhill::gateway {
//! How a request ended, for the log.
struct request_completion
{
    std::string outcome;
    std::string reason;
    unsigned status = 0; //!< 0 when the caller left before an answer
    duration elapsed{};
    routing::configuration_version configuration; //!< in force then
    object_version upstreams_version;             //!< the store's version of the list that was used
};

//! One line for each request, with what decided its end.
void log_completion(const gateway_flow& flow, const request_completion& completion);
//! One line for a send that brought no answer.
void log_failed_attempt(const gateway_flow& flow, std::uint64_t attempt, const std::string& detail);
} // namespace buckthornhill::gateway
