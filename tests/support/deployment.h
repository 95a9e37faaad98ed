#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "http/http_types.h"
#include "load_generator.h"

namespace buckthornhill::testing {
//! One daemon of a deployment under test.
struct daemon_instance
{
    std::string id;
    std::string region;
    std::string domain;
    std::string ready_line;
    std::string caller_address;
    std::string peer_address;
    std::string operations_address;
    std::unique_ptr<child_process> process;
};

struct deployment_options
{
    std::string file;                      //!< the deployment's JSON file
    std::vector<std::string> daemon_flags; //!< added to the command line of every daemon
    int service_us = 2000;
    int cold_us = 0;
    bool starts_with_store_down = false;
};

//! Runs the system that a deployment file describes as separate processes on loopback: store, upstreams and
//! daemons.
class deployment
{
public:
    explicit deployment(const deployment_options& options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    std::vector<daemon_instance>& daemons() { return this->instances; }
    daemon_instance& start_daemon(const std::string& id, const std::string& region, const std::string& domain,
                                  const std::vector<std::string>& flags);
    //! Registers all instances and upstreams with the store.
    void register_instances();
    //! Writes a document to the store, conditional on its current version; returns the HTTP status.
    unsigned put_document(const std::string& name, const std::string& body);
    //! Runs buckthornhillctl against this deployment as the operator `test`.
    finished_process run_tool(const std::vector<std::string>& arguments);
    //! Writes `text` to a file that is removed with the deployment; returns its path.
    std::string write_file(const std::string& name, const std::string& text);
    void set_store_faults(const std::string& faults);
    http::http_response call(const std::string& address, const std::string& method, const std::string& target,
                             const std::string& body = "", const http::header_list& headers = {});
    http::http_response call_upstreams(const std::string& method, const std::string& target);
    std::string status_of(const daemon_instance& instance);
    //! Waits until `condition` holds; returns false if `timeout` passes first.
    bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
    //! Waits until all running daemons see each other as live and have the store's documents.
    bool wait_until_ready();
    std::map<std::string, int> execution_log();
    std::vector<std::string> caller_addresses() const;
    const std::string& store_address() const { return this->store_endpoint; }

    //! A load plan with one stream for each pair of service and region; `per_second` is the rate of each
    //! stream.
    load::load_plan make_plan(double per_second, std::chrono::milliseconds length) const;
    //! Runs a load to its end; each event runs at its time after the start of the load.
    load::load_report
    run_load(const load::load_plan& plan,
             const std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>>& events,
             const load::caller_session::result_hook& hook = {});

private:
    std::string deployment_text;
    deployment_options options;
    std::string store_endpoint;
    std::string upstreams_control;
    std::string upstreams_json;
    std::string directory;
    std::unique_ptr<child_process> store;
    std::unique_ptr<child_process> upstreams;
    std::vector<daemon_instance> instances;
};
} // namespace buckthornhill::testing
