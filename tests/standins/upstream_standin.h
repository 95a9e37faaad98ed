#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/http_exchange.h"
#include "ownership/ownership_types.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::http {
class http_server;
}

namespace buckthornhill::standins {
//! Number of runs of each request, by the caller's `Order-Id`, over all upstreams of one process.
using execution_log = std::map<std::string, int>;

struct upstream_behavior
{
    int service_us = 2000; //!< processing time of a request whose target is in the cache
    int cold_us = 2000;    //!< additional time for a target that is not in the cache
    int restart_ms = 300;  //!< time from a crash to the restart
    std::size_t body_bytes = 64;
};

//! Stand-in for one upstream: limited slots, a cache that starts cold, load shedding, draining, cancellation,
//! and a crash on requests with a marked target.
class upstream_standin
{
public:
    struct counters
    {
        std::uint64_t runs = 0;
        std::uint64_t sheds = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t crashes = 0;
        std::uint64_t runs_while_draining = 0;
        std::int64_t max_in_use = 0;
    };

    upstream_standin(boost::asio::io_context& context, ownership::upstream_description description,
                     const upstream_behavior& behavior, execution_log& log);
    ~upstream_standin();
    upstream_standin(const upstream_standin&) = delete;
    upstream_standin& operator=(const upstream_standin&) = delete;

    const ownership::upstream_description& description() const { return this->upstream; }
    const counters& counts() const { return this->totals; }
    void set_draining(bool value) { this->is_draining = value; }
    void set_behavior(const upstream_behavior& value) { this->behavior = value; }

private:
    void start_server(unsigned short requested_port);
    void on_request(const http::exchange_ptr& exchange);
    void run(const http::exchange_ptr& exchange);
    void finish(const http::exchange_ptr& exchange);
    void crash();
    http::http_response response_to(const http::http_request& request, unsigned status) const;

    boost::asio::io_context& context;
    ownership::upstream_description upstream;
    upstream_behavior behavior;
    execution_log& log;
    std::unique_ptr<http::http_server> server;
    unsigned short port = 0;
    std::int64_t in_use = 0;
    std::uint64_t generation = 0; //!< incremented by each crash
    std::set<std::string> cache;
    counters totals;
    bool is_draining = false;
};
} // namespace buckthornhill::standins
