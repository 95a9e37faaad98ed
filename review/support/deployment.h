#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../../tests/support/child_process.h"
#include "backend.h"
#include "caller.h"
#include "store.h"

namespace buckthornhill::review {
struct route
{
    std::string path_prefix;
    service_id service;
    bool is_safe = false;
    milliseconds timeout{2000};
};

//! The deployment that the settings describe: three regions of one zone each, with the bounds of the Bureau.
struct bounds
{
    milliseconds stable_window{3000};
    milliseconds drain{2000};
    milliseconds config_apply{2000};
    double cold_load_factor = 1.5;
    std::size_t cold_slack = 5;
};

//! `cold_per_s` of each service.
inline constexpr double cold_rate = 8;
inline constexpr const char* host_name = "stalls.example";

//! Paths and mode that `run.sh` passes on.
struct case_options
{
    std::string gateway_program;
    std::string work_directory;
    std::string record_path;
    bool has_trouble = true;
};

//! Reads `case PROGRAM WORK_DIRECTORY RECORD` and the variable TROUBLE; throws if an argument is missing.
case_options read_options(int argc, char** argv);

//! The configuration as the operator writes it.
boost::json::value configuration(std::uint64_t version, const std::vector<route>& routes);

//! One gateway process with settings as `platform/settings.template` renders them.
class gateway
{
public:
    gateway(const case_options& options, std::size_t index, const address& store_address);

    void start();
    void kill();
    void signal(int number) const { this->process->signal(number); }
    bool is_running();
    const address& callers() const { return this->caller_address; }
    const std::string& name() const { return this->instance; }
    //! Whether it answers its readiness check with 200.
    bool is_ready() const;
    //! Resident memory of its process.
    std::size_t resident_bytes() const;

    static domain_id domain_of(std::size_t index);

private:
    std::string program;
    std::string instance;
    std::string settings_path;
    std::string log_path;
    address caller_address;
    address readiness_address;
    std::unique_ptr<testing::child_process> process;
};

//! A loopback address that concurrent runs do not share.
std::string loopback_ip(std::size_t last);

//! Waits until all gateways are ready; throws when they are not within ten seconds.
void wait_until_ready(const std::list<gateway>& gateways);

//! Threads that call a function one after the other at a fixed pace until `stop`.
class paced_threads
{
public:
    //! `body` gets the number of the call, counted over all threads.
    paced_threads(std::size_t count, milliseconds pace, const std::function<void(std::size_t)>& body);
    ~paced_threads() { this->stop(); }
    paced_threads(const paced_threads&) = delete;
    paced_threads& operator=(const paced_threads&) = delete;
    void stop();

private:
    std::atomic<bool> is_stopped = false;
    std::atomic<std::size_t> calls = 0;
    std::vector<std::thread> threads;
};

void sleep_until(time_point when);
} // namespace buckthornhill::review
