#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "arrival_checker.h"
#include "attempt_checker.h"
#include "gateway_process.h"
#include "guarantee_checker.h"
#include "http/http_client.h"
#include "loopback_proxy.h"
#include "platform_messages.h"

namespace buckthornhill::soak {
struct soak_options
{
    std::uint64_t seed = 1;
    std::chrono::seconds fault_time{10}; //!< duration of fault injection
    std::size_t gateways = 9;
    std::size_t callers = 24;
    std::size_t upstreams_of_service = 3;
    unsigned retry_burst = 58; //!< retries beyond the ratio, of all gateways in one window
    std::string gateway_program;
    std::string directory; //!< for settings files and logs
};

request_outcome outcome_of(const http::http_request& request, const http::call_result& result);

//! One run: gateway processes, the platform's stand-ins, callers, and random faults drawn from the seed.
class soak_run
{
public:
    explicit soak_run(const soak_options& options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    //! Runs to the end and returns the violated guarantees.
    std::vector<std::string> execute();
    std::string summary() const;

private:
    struct proxied_upstream
    {
        std::unique_ptr<platform::standins::platform_upstream> upstream;
        std::unique_ptr<loopback_proxy> proxy;
        bool is_leaving = false;
        bool has_ended = false;
        std::optional<time_point> limited_since; //!< its responses name `limit`
        double limit = 0;
    };
    struct soak_caller
    {
        std::unique_ptr<http::http_client> client;
        std::size_t gateway = 0;
        int requests_left = 0; //!< before the caller chooses another gateway
    };
    //! Ends the upstreams that run it.
    struct crashing_request
    {
        std::string prefix; //!< of its route
        std::string target;
        bool may_repeat = false;
    };
    using action = std::function<void()>;

    void start_gateways(const std::string& settings);
    void add_upstream(const std::string& service);
    void remove_upstream(const std::string& id);
    //! Callbacks find an upstream by its id, since upstreams are added and removed meanwhile. Returns null if
    //! it was removed.
    proxied_upstream* find_upstream(const std::string& id);
    void send_request(std::size_t number);
    void on_call_result(std::size_t number, const http::http_request& request, const std::string& request_id,
                        const http::call_result& result);
    void choose_gateway(soak_caller& caller);
    void inject_next_fault();
    void inject_process_fault();
    void kill_gateway(gateway_process& gateway);
    void kill_all_gateways();
    void inject_store_path_fault();
    void inject_store_fault();
    void inject_upstream_fault();
    void end_upstream(const std::string& id);
    //! Ends a third of the upstreams of a service at once.
    void end_many_upstreams(const std::string& service);
    //! Callers begin to send a request that crashes upstreams, again and again and to several gateways.
    void start_crashing_request();
    void send_crashing_request(const crashing_request& request, std::uint64_t repeats_left,
                               std::size_t copies);
    bool is_crashing(const http::http_request& request) const;
    void check_quarantined_requests();
    void stop_random_gateway();
    void drain_random_upstream();
    //! All upstreams of the service are warm and stay.
    bool can_spare_upstream(const std::string& service) const;
    void start_planned_operation();
    void change_configuration();
    void watch_processes();
    void end_fault_injection();
    void run_after(std::chrono::milliseconds time, action callback);
    void restart_gateway(gateway_process& gateway);
    void excuse_gateway(time_point from, time_point until, const gateway_process& gateway);
    //! An upstream names a limit in its responses for some seconds.
    void name_limit();
    void end_limit(proxied_upstream& proxied);
    void record_store_fault(std::chrono::milliseconds time);
    void record_gateway_fault(std::chrono::milliseconds time, const gateway_process& gateway);
    std::uint64_t draw(std::uint64_t bound);
    std::chrono::milliseconds draw_duration(int min_ms, int max_ms);

    soak_options options;
    std::mt19937_64 random;
    boost::asio::io_context context;
    platform::standins::platform_store store;
    std::vector<platform::standins::upstream_run> upstream_runs;
    std::list<proxied_upstream> upstreams;
    std::vector<std::unique_ptr<loopback_proxy>> store_proxies; //!< one for each gateway
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::vector<soak_caller> callers;
    std::unique_ptr<http::http_client> crash_client;
    std::vector<crashing_request> crashing_requests; //!< so far
    std::map<std::string, int> event_counts;
    guarantee_checker checker{guarantee_bounds{}};
    arrival_checker arrivals;
    attempt_checker attempts{attempt_bounds{}};
    std::map<std::string, std::string> service_by_prefix; //!< of the current configuration
    std::map<std::string, time_point> down_since;         //!< by gateway, from a kill or the start of a stop
    std::uint64_t last_request = 0;
    std::uint64_t last_upstream = 0;
    std::uint64_t last_version = 0;
    bool is_injection_over = false; //!< no further faults are injected
    bool is_load_over = false;      //!< no further requests are sent
    bool is_over = false;           //!< this object is being destroyed
};
} // namespace buckthornhill::soak
