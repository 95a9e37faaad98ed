#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "global/error.h"

namespace buckthornhill::soak {
//! The file of a deployment cannot be read.
class deployment_error : public error
{
    using error::error;
};

struct domain_description
{
    std::string name;
    std::string region;
    std::size_t gateways = 0;
};

struct service_description
{
    std::string name;
    std::vector<std::size_t> upstreams; //!< in each failure domain, in their order
    unsigned slots = 4;
    unsigned queue = 0;
    unsigned cold_requests_per_second = 8;
    std::chrono::milliseconds cold_time{3000};
};

//! One kind of request: its route and the callers that send it.
struct request_kind
{
    std::string path_prefix;
    std::vector<std::string> services; //!< which successive configurations send it to, in turn
    bool may_repeat = false;
    bool is_dropped_at_times = false; //!< the route is missing in one of three configurations
    double requests_per_second = 0;
    std::uint64_t objects = 1;
    std::chrono::milliseconds work{40};
    std::chrono::milliseconds caller_wait{2000}; //!< announced with the request
    std::chrono::milliseconds timeout{1500};     //!< of the route
    std::chrono::milliseconds objective{500};
    int priority = 0;
    int max_attempts = 2;
};

//! What a run plays: where gateways and upstreams stand, what callers send, and the bounds.
struct deployment
{
    std::vector<domain_description> domains;
    std::vector<service_description> services;
    std::vector<request_kind> kinds;
    double retry_ratio = 0.2;
    double retry_burst = 58;
    bool has_object_plan = false; //!< the gateways plan which upstream handles which object
    bool has_accounts = false;    //!< callers send API keys
    double upload_share = 0;      //!< of the requests that may run once: those with large bodies
    std::chrono::milliseconds revoke{5000};
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds config_apply{2000};
    std::chrono::milliseconds stable_window{3000};
    bool restores_store = false; //!< the store names eras and comes back from older copies

    std::size_t gateway_count() const;
    //! Failure domain of a gateway; gateways of a domain have consecutive numbers.
    const domain_description& domain_of_gateway(std::size_t gateway) const;
};

//! Throws `deployment_error` when the file is missing or incomplete.
deployment read_deployment(const std::string& path);
} // namespace buckthornhill::soak
