#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/daemon_configuration.h"

namespace buckthornhill::daemon {
//! Runs an entry instance: one thread for requests, one for the store and one for operators, connected by
//! bounded queues.
class daemon_module
{
public:
    explicit daemon_module(const daemon_configuration& configuration);
    ~daemon_module();
    daemon_module(const daemon_module&) = delete;
    daemon_module& operator=(const daemon_module&) = delete;

    //! One line of JSON with the identity of the instance and the addresses that it listens on.
    std::string ready_line() const;
    //! Runs until a graceful stop has finished. The first SIGTERM or SIGINT starts the graceful stop; a
    //! second one ends the process immediately.
    int run();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::daemon
