#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway_process.h"
#include "http/http_client.h"
#include "loopback_proxy.h"
#include "platform_messages.h"
#include "promise_book.h"

namespace buckthornhill::soak {
struct soak_options
{
    std::uint64_t seed = 1;
    std::chrono::seconds length{10}; //!< of the time with trouble
    std::size_t gateways = 9;
    std::size_t callers = 24;
    std::string gateway_program;
    std::string directory; //!< for settings and logs
};

//! One run: gateways as processes, the platform's stand-ins, callers, and trouble drawn from the seed.
class soak_run
{
public:
    explicit soak_run(const soak_options& options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    //! Plays to the end; returns the broken promises.
    std::vector<std::string> play();
    std::string summary() const;

private:
    struct upstream_site
    {
        std::unique_ptr<platform::standins::platform_upstream> upstream;
        std::unique_ptr<loopback_proxy> proxy;
        bool is_leaving = false;
    };
    struct caller
    {
        std::unique_ptr<http::http_client> client;
        std::size_t gateway = 0;
        int left_there = 0; //!< requests until it looks for another gateway
    };
    using action = std::function<void()>;

    void start_gateways(const std::string& settings);
    void add_upstream(const std::string& service);
    void remove_upstream(const std::string& id);
    //! By id, since others come and go meanwhile; null when it is gone.
    upstream_site* find_upstream(const std::string& id);
    void call(std::size_t number);
    void on_answer(std::size_t number, const http::http_request& request, const std::string& id,
                   const http::call_result& result);
    void move_caller(caller& who);
    void draw_trouble();
    void trouble_process();
    void trouble_store_path();
    void trouble_store();
    void trouble_upstream();
    void stop_in_turn();
    void drain_upstream();
    void plan_work();
    void change_configuration();
    void watch_processes();
    void end_trouble();
    void after(std::chrono::milliseconds time, action what);
    void note_trouble(std::chrono::milliseconds time);
    std::uint64_t draw(std::uint64_t bound);
    std::chrono::milliseconds draw_time(int least_ms, int most_ms);

    soak_options options;
    std::mt19937_64 random;
    boost::asio::io_context context;
    platform::standins::platform_store store;
    std::vector<platform::standins::upstream_run> runs;
    std::list<upstream_site> upstreams;
    std::vector<std::unique_ptr<loopback_proxy>> store_paths; //!< one for each gateway
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::vector<caller> callers;
    std::map<std::string, int> troubles_drawn;
    promise_book book{promise_bounds{}};
    std::uint64_t last_request = 0;
    std::uint64_t last_upstream = 0;
    std::uint64_t last_version = 0;
    bool is_over = false;   //!< no further trouble
    bool is_ending = false; //!< no further requests
};
} // namespace buckthornhill::soak
