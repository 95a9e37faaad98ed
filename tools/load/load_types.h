#pragma once

#include <map>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "requests/requests_types.h"

//! Load generator for tests and experiments: callers that follow the published protocol, at a fixed rate.
namespace buckthornhill::load {
struct operation
{
    service_id service;
    std::string method = "GET";
    std::string target;
    std::string order_id; //!< assigned by the caller; upstreams log it
    customer_id customer;
    region_id region;
    std::chrono::milliseconds deadline{2000};
    time_point intended_at; //!< scheduled send time; latency is measured from here
};

struct operation_result
{
    requests::outcome result = requests::outcome::unknown;
    std::string reason;
    unsigned status = 0;
    int attempts = 0;
    bool is_wrong_answer = false; //!< the response belongs to another request or was truncated
    bool was_refused_connection = false;
    duration latency{};
};

struct caller_configuration
{
    std::vector<std::string> bootstrap; //!< caller-facing addresses of some entry instances
    region_id region;
    int max_attempts = 6;
    std::chrono::milliseconds attempt_timeout{2500};
};
} // namespace buckthornhill::load
