#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/gateway_dialect.h"
#include "gateway/gateway_settings.h"

namespace buckthornhill::gateway {
//! The gateway as a process: a thread for requests, one for the store, one for operators, signals on the
//! main one.
class gateway_module
{
public:
    //! Returns the settings when they changed since the last call, and nothing otherwise. Throws
    //! `buckthornhill::error` when they are wrong; those in force then stay.
    using reload_hook = std::function<std::optional<gateway_settings>()>;

    gateway_module(const gateway_settings& settings, gateway_dialect dialect, reload_hook reload);
    ~gateway_module();
    gateway_module(const gateway_module&) = delete;
    gateway_module& operator=(const gateway_module&) = delete;

    //! Serves until SIGTERM and returns the exit code.
    int run();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::gateway
