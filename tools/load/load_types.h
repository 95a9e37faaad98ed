#pragma once

#include <map>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "requests/requests_types.h"

//! Load and experiment tool: callers that follow the published protocol, at a set rate.
namespace buckthornhill::load {
struct operation
{
    service_id service;
    std::string method = "GET";
    std::string target;
    std::string order_id; //!< the caller's own name for it; upstreams log it
    customer_id customer;
    region_id region;
    std::chrono::milliseconds deadline{2000};
    time_point intended_at; //!< when it should have been sent; latency counts from here
};

struct operation_result
{
    requests::outcome result = requests::outcome::unknown;
    std::string reason;
    unsigned status = 0;
    int attempts = 0;
    bool is_wrong_answer = false; //!< the answer was another request's, or was cut
    bool was_refused_connection = false;
    duration latency{};
};

struct caller_configuration
{
    std::vector<std::string> bootstrap; //!< callers' addresses of some entry instances
    region_id region;
    int max_attempts = 6;
    std::chrono::milliseconds attempt_timeout{2500};
};
} // namespace buckthornhill::load
