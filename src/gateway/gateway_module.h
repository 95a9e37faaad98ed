#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/gateway_dialect.h"
#include "gateway/gateway_settings.h"

namespace buckthornhill::gateway {
//! The gateway process. Requests, the store and the operations interface have a thread each; the main thread
//! handles signals.
class gateway_module
{
public:
    //! Returns the settings if they changed since the last call, otherwise nothing. Throws
    //! `buckthornhill::error` if they are invalid; the current settings then stay in force.
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
