#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "accounts/accounts_types.h"
#include "global/ids.h"
#include "global/strong_number.h"
#include "global/units.h"

//! The operator's routing configuration: which service a request goes to, and under which terms.
namespace buckthornhill::routing {
//! Increases with each configuration that the operator accepts.
using configuration_version = strong_number<struct configuration_version_tag, std::uint64_t>;

enum class repeat_rule {
    repeatable,  //!< may run more than once
    at_most_once //!< sent again only when it is certain that it did not run
};

struct service_share
{
    service_id service;
    double weight = 1; //!< relative to the other shares of the route
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; //!< begins and ends with a slash
    repeat_rule repeats = repeat_rule::at_most_once;
    std::vector<service_share> services;
    std::chrono::milliseconds timeout{0}; //!< longest time until the response
    std::chrono::milliseconds objective{
        0};                              //!< target latency; a response within it is worth most to the caller
    int priority = 0;                    //!< 0 is the most urgent
    int max_upstreams = 1;               //!< to which one request may be sent
    bool has_affinity = false;           //!< upstreams respond faster for objects that they handled lately
    std::set<region_id> allowed_regions; //!< regions that may run the requests; empty when all may
    bool is_public = false;              //!< requests need no API key
};

struct service_policy
{
    std::string health_path;
    std::int64_t max_connections = 0; //!< to one upstream, from all instances together
    std::chrono::milliseconds cold_period{
        0};                              //!< after a start, while an upstream can handle only few requests
    double cold_requests_per_second = 0; //!< that one cold upstream can handle; 0 means no limit
};

//! Limits on what a caller may send.
struct caller_limits
{
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 1024UL * 1024;
    std::chrono::milliseconds header_timeout{5000};
    std::chrono::milliseconds idle_timeout{60000};
};

struct routing_configuration
{
    configuration_version version;
    std::vector<route> routes;
    std::map<service_id, service_policy> services;
    caller_limits limits;
    //! When there are any, requests need a key of one of them, except on public routes.
    std::vector<accounts::client_account> accounts;
};
} // namespace buckthornhill::routing
