#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/daemon_configuration.h"

namespace buckthornhill::daemon {
//! Wires the duties of an entry instance to their threads and rings.
class daemon_module
{
public:
    explicit daemon_module(const daemon_configuration& configuration);
    ~daemon_module();
    daemon_module(const daemon_module&) = delete;
    daemon_module& operator=(const daemon_module&) = delete;

    //! One line of JSON with the addresses in use.
    std::string ready_line() const;
    //! Runs until a planned stop has finished. SIGTERM and SIGINT start one; a second signal ends at once.
    int run();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::daemon
