#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "accounts/configuration_freshness.h"
#include "gateway/confirmation_source.h"
#include "gateway/gateway_settings.h"
#include "http/http_client.h"
#include "http/http_exchange.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Asks other instances to confirm the configuration while neither the store nor the relay does, and answers
//! them. Runs on the request thread.
class confirmation_exchange
{
public:
    struct hooks
    {
        std::function<std::vector<instance_id>()> live_peers; //!< without this instance
        std::function<std::string(const instance_id&)> peer_address_of;
        //! What this instance answers to others, if anything.
        std::function<std::optional<peer_confirmation>()> own_confirmation;
        //! Whether another instance's answer confirms the configuration in force.
        std::function<bool(const peer_confirmation&)> is_confirmed_by;
        //! Version of the configuration in force; 0 when there is none.
        std::function<routing::configuration_version()> version;
        //! The instance at this address has a newer configuration.
        std::function<void(const std::string& address)> on_peer_ahead;
    };

    confirmation_exchange(boost::asio::io_context& context, const gateway_settings& settings,
                          accounts::configuration_freshness& freshness, random_hook random, hooks callbacks);
    ~confirmation_exchange();
    confirmation_exchange(const confirmation_exchange&) = delete;
    confirmation_exchange& operator=(const confirmation_exchange&) = delete;

    //! `has_accounts`: whether the configuration in force has any, since nothing else needs a confirmation.
    void on_tick(time_point now, bool has_accounts);
    static bool is_confirmation_call(std::string_view target);
    void on_call(const http::exchange_ptr& exchange) const;

private:
    void ask(time_point now, const std::string& address);
    void on_result(const std::string& address, std::chrono::nanoseconds asked_at,
                   const http::call_result& result);

    accounts::configuration_freshness& freshness;
    hooks callbacks;
    confirmation_source source;
    std::unique_ptr<http::http_client> client;
};
} // namespace buckthornhill::gateway
