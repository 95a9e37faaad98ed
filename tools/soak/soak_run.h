#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "account_plan.h"
#include "delayed_calls.h"
#include "deployment.h"
#include "fault_schedule.h"
#include "gateway_fleet.h"
#include "platform_messages.h"
#include "platform_store.h"
#include "request_load.h"
#include "run_record.h"
#include "upstream_fleet.h"

namespace buckthornhill::soak {
struct soak_options
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds fault_time{10000}; //!< duration of fault injection
    double load = 1;                             //!< of the deployment's rates
    deployment played;
    std::string gateway_program;
    std::string directory; //!< for settings files and logs
};

//! One run: gateway processes, the platform's stand-ins, callers, and a schedule of faults drawn from the
//! seed.
class soak_run
{
public:
    explicit soak_run(const soak_options& options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    const std::vector<scheduled_fault>& schedule() const { return this->faults; }
    //! Runs to the end and returns the violated guarantees.
    std::vector<std::string> execute();
    std::string summary() const;

private:
    //! Ends the upstreams that run it.
    struct crashing_request
    {
        const request_kind* kind = nullptr;
        std::string target;
        std::string key; //!< of all its callers, since a request is the same only with the same key
    };

    void inject(const scheduled_fault& fault);
    void inject_at_gateways(const scheduled_fault& fault);
    void inject_at_upstreams(const scheduled_fault& fault);
    void inject_at_callers(const scheduled_fault& fault);
    void inject_store_fault(const scheduled_fault& fault);
    //! The store goes back to a copy of now after the duration of the fault. The operator and the upstreams
    //! write again what they wrote.
    void restore_store(const scheduled_fault& fault);
    void write_again();
    //! Callers begin to send a request that crashes upstreams, again and again and to several gateways.
    void start_crashing_request(std::uint64_t variant);
    void send_crashing_request(const crashing_request& request, std::uint64_t repeats_left,
                               std::size_t copies);
    bool is_crashing(const http::http_request& request) const;
    std::chrono::milliseconds work_of(const http::http_request& request) const;
    //! The gateways' logs name what they quarantined, which callers cannot tell from other refusals.
    void check_quarantined_requests();
    //! Writes the next configuration, with other services.
    void change_configuration();
    //! Writes the routes and accounts of now as a new version.
    void write_configuration();
    //! Writes the latest version, perhaps once more. Returns the service of each path prefix.
    std::map<std::string, std::string> put_current_configuration();
    void set_up_accounts();
    std::vector<platform::standins::account_description> account_descriptions() const;
    void change_keys_again_and_again();
    //! Keeps some gateways without news for longer than the bound of a revocation.
    void start_long_silences();
    void record_account(const platform::standins::upstream_run& run);
    void end_fault_injection();
    void record_arrivals();

    soak_options options;
    boost::asio::io_context context;
    delayed_calls calls{this->context};
    std::vector<scheduled_fault> faults;
    run_record record;
    std::optional<account_plan> accounts; //!< empty in runs without accounts
    platform::standins::platform_store store;
    std::unique_ptr<upstream_fleet> upstreams;
    std::unique_ptr<gateway_fleet> gateways;
    std::unique_ptr<request_load> load;
    std::vector<crashing_request> crashing_requests; //!< so far
    std::map<std::string, int> event_counts;
    std::uint64_t last_version = 0;
    std::uint64_t routes_version = 0; //!< the version without changes of keys alone
    bool is_injection_over = false;   //!< no further faults are injected
};
} // namespace buckthornhill::soak
