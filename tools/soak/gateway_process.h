#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "http/http_types.h"

namespace buckthornhill::soak {
struct gateway_identity
{
    std::string instance;
    std::string domain;
    std::string address; //!< a loopback address of its own, so that its ports are free
};

//! One gateway of the deployment: its settings file and its process, which is started again and again.
class gateway_process
{
public:
    static constexpr unsigned short callers_port = 7001;
    static constexpr unsigned short readiness_port = 7002;
    static constexpr unsigned short peers_port = 7004;

    //! `settings` are the lines that all gateways share.
    gateway_process(std::string program, std::string directory, gateway_identity identity,
                    const http::endpoint& store, const std::string& settings);

    void start();
    void kill();
    void signal(int number) const;
    //! Asks for a planned stop; `has_ended` tells when it is done.
    void request_stop();
    //! Whether the process is gone; the exit code of one that ended by itself goes to `exit_code`.
    bool has_ended(std::optional<int>& exit_code);
    //! Writes the settings file anew with a comment, so that it differs.
    void rewrite_settings();

    bool is_running() const { return this->process != nullptr; }
    bool is_stopping() const { return this->is_stop_requested; }
    http::endpoint caller_endpoint() const { return {this->identity.address, callers_port}; }
    http::endpoint readiness_endpoint() const { return {this->identity.address, readiness_port}; }
    //! Only while it is running.
    pid_t pid() const { return this->process->pid(); }
    const std::string& name() const { return this->identity.instance; }

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
