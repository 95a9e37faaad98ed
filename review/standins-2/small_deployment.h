#pragma once

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "../../platform/tests/standins/platform_messages.h"
#include "../../tests/support/child_process.h"
#include "http/http_client.h"

//! A small deployment for the cases of a review: gateways as processes, the project's stand-ins for the store
//! and the upstreams, and clients.
namespace buckthornhill::review {
//! Whether the case plays its disruption: TROUBLE=0 in the environment plays it without.
bool has_trouble();

//! What was sent, answered and run, with the time since the start of the case.
class case_record
{
public:
    explicit case_record(const std::string& path);
    void add(const std::string& line);
    std::chrono::milliseconds now() const;

private:
    std::ofstream file;
    time_point started_at;
};

struct zone_description
{
    std::string name;
    std::string region;
};

struct deployment_options
{
    std::vector<zone_description> zones; //!< with one gateway in each
    std::size_t upstreams_per_zone = 1;
    std::chrono::milliseconds processing_time{15}; //!< of the upstreams
    std::vector<std::string> bounds;               //!< `name=value`
    //! Seeds of all gateways: the gateway of this zone, and addresses without a listener.
    std::vector<std::size_t> seed_gateways;
    std::size_t stale_seeds = 0;
    std::string directory; //!< for settings files and logs
    //! The address at which the first gateway reaches the store, when it is not the store's own.
    std::function<http::endpoint(boost::asio::io_context&, const http::endpoint& store)> first_gateway_store;
};

class small_deployment
{
public:
    small_deployment(const deployment_options& how, case_record& record);
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    std::size_t size() const { return this->gateways.size(); }
    //! With the command of the deploy file.
    void start(std::size_t gateway);
    void kill(std::size_t gateway);
    //! Starts all gateways and waits until all say that they are ready; throws after ten seconds.
    void start_all();
    bool is_ready(std::size_t gateway);
    void run_for(std::chrono::milliseconds time);
    //! At a loopback address that no gateway uses.
    static http::endpoint free_proxy_endpoint();
    const std::string& upstream_id(std::size_t upstream) const { return this->upstreams[upstream]->id(); }
    //! Its entry is removed, and it goes on serving.
    void leave(std::size_t upstream);
    //! Drops what it runs.
    void end(std::size_t upstream);
    http::endpoint caller_endpoint(std::size_t gateway) const;
    //! While the store is away, upstreams cannot renew their registrations.
    void set_store_away(bool is_away) { this->is_store_away = is_away; }

    boost::asio::io_context context;
    platform::standins::platform_store store;
    std::vector<platform::standins::upstream_run> runs; //!< of all upstreams

    static constexpr const char* service = "desk";

private:
    struct gateway_instance
    {
        std::string name;
        std::string settings_path;
        std::string log_path;
        http::endpoint callers;
        http::endpoint readiness;
        std::unique_ptr<testing::child_process> process;
    };

    void write_settings(const deployment_options& how);
    void add_upstream(const zone_description& zone, std::size_t number,
                      std::chrono::milliseconds processing_time);
    void renew_registrations();

    case_record& record;
    std::vector<std::unique_ptr<platform::standins::platform_upstream>> upstreams;
    std::set<std::string> left_upstreams;
    std::vector<gateway_instance> gateways;
    std::unique_ptr<http::http_client> checker;
    boost::asio::steady_timer renewal_timer{this->context};
    bool is_store_away = false;
    std::uint64_t renewals = 0;
};

//! Runs `play` in a temporary directory; returns the exit code of a case: 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. `play` returns whether the rule held.
int run_case(int argc, char** argv,
             const std::function<bool(const std::string& directory, case_record&)>& play);
} // namespace buckthornhill::review
