#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "http/http_types.h"

namespace buckthornhill::soak {
//! The name, failure domain and address of a gateway.
struct gateway_identity
{
    std::string instance;
    std::string domain;
    std::string address; //!< a loopback address that no other gateway uses, so that the fixed ports are free
};

//! Address of a gateway of this process, which concurrent runs do not share.
std::string loopback_address_of(std::size_t gateway);

//! One gateway of the deployment: its settings file and its process, which can be restarted.
class gateway_process
{
public:
    static constexpr unsigned short callers_port = 7001;
    static constexpr unsigned short readiness_port = 7002;
    static constexpr unsigned short peers_port = 7004;

    //! `settings` are the settings lines that all gateways share.
    gateway_process(std::string program, std::string directory, gateway_identity identity,
                    const http::endpoint& store, const std::string& settings);

    void start();
    void kill();
    void signal(int number) const;
    //! Sends SIGTERM for a planned stop; `has_ended` reports when the process has ended.
    void request_stop();
    //! Whether the process is gone. Sets `exit_code` if the process ended without `kill`.
    bool has_ended(std::optional<int>& exit_code);
    //! Rewrites the settings file with a new comment, so that its content differs.
    void rewrite_settings();

    bool is_running() const { return this->process != nullptr; }
    bool is_stopping() const { return this->is_stop_requested; }
    http::endpoint caller_endpoint() const { return {this->identity.address, callers_port}; }
    http::endpoint readiness_endpoint() const { return {this->identity.address, readiness_port}; }
    //! May be called only while the process is running.
    pid_t pid() const { return this->process->pid(); }
    const std::string& name() const { return this->identity.instance; }
    std::string log_path() const { return this->directory + "/" + this->identity.instance + ".log"; }

private:
    std::string program;
    std::string directory;
    gateway_identity identity;
    std::string settings_text;
    int settings_version = 0;
    std::unique_ptr<testing::child_process> process;
    bool is_stop_requested = false;
};
} // namespace buckthornhill::soak
