#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "caller_session.h"
#include "load_report.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::load {
//! A sequence of operations of one kind, as part of a load.
struct load_stream
{
    service_id service;
    std::string method;
    customer_id customer;
    region_id region;
    double operations_per_second = 10;
    int distinct_targets = 50;
    std::chrono::milliseconds deadline{2000};
};

struct load_plan
{
    std::vector<std::string> bootstrap;
    std::vector<load_stream> streams;
    std::chrono::milliseconds length{2000};
    std::string order_prefix = "order";
    std::uint64_t seed = 1;
};

//! Sends each stream at its rate regardless of responses (open loop), so that a slow response neither delays
//! later requests nor hides their latency.
class load_generator
{
public:
    using result_hook = caller_session::result_hook;

    load_generator(boost::asio::io_context& context, load_plan plan, result_hook on_result);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    //! Calls `on_finished` after the last response.
    void start(std::function<void()> on_finished);
    const load_report& report() const { return this->results; }

private:
    struct stream_state;

    void schedule(const std::shared_ptr<stream_state>& stream);
    void send(const std::shared_ptr<stream_state>& stream);
    void on_result(const operation& completed, const operation_result& result);

    boost::asio::io_context& context;
    load_plan plan;
    result_hook hook;
    std::function<void()> on_finished;
    http::http_client client;
    load_report results;
    std::mt19937_64 random;
    std::size_t active_streams = 0;
    std::size_t in_flight = 0;
    std::uint64_t sent = 0;
    time_point end;
};
} // namespace buckthornhill::load
