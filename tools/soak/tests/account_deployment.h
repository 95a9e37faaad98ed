#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway_process.h"
#include "http/http_client.h"
#include "platform_messages.h"
#include "raw_upstream.h"

namespace buckthornhill::soak {
//! Gateways of one failure domain, one of which relays the store's changes to the others if they are many
//! enough, and an upstream that records for which accounts it ran requests. Revocation is strict.
class account_deployment
{
public:
    static constexpr std::chrono::milliseconds revoke_bound{5000};
    static constexpr std::chrono::milliseconds recovery_bound{4000}; //!< of the store's collections

    //! The store refuses all calls of `refused_count` further gateways, which are in a failure domain of
    //! their own. `seed_count`: the first gateways, whose addresses the settings name.
    account_deployment(std::size_t count, std::size_t refused_count, std::size_t seed_count);
    explicit account_deployment(std::size_t count, std::size_t refused_count = 0)
        : account_deployment(count, refused_count, count)
    {
    }
    ~account_deployment();
    account_deployment(const account_deployment&) = delete;
    account_deployment& operator=(const account_deployment&) = delete;

    void configure(const std::vector<platform::standins::account_description>& accounts_in_force);
    //! Writes the latest version again.
    void configure_again();
    void start();
    void restart(std::size_t gateway);
    void run_for(std::chrono::milliseconds time);
    //! Sends a request that claims an account of its own to each gateway and waits for `time`; returns ids.
    std::vector<std::string> send_to_all(const std::string& key, std::chrono::milliseconds time);
    std::string send(std::size_t gateway, const std::string& key);
    //! Whether the gateway serves a request that it gets now.
    bool is_served(std::size_t gateway, const std::string& key);

    boost::asio::io_context context;
    platform::standins::platform_store store;
    platform::standins::platform_store refusing_store;
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::map<std::string, std::string> accounts; //!< of the requests that ran, by id
    std::map<std::string, platform::standins::caller_response> responses;
    bool has_seen_key = false;

private:
    http::http_client client;
    platform::standins::raw_upstream upstream;
    std::vector<platform::standins::account_description> latest_accounts;
    std::uint64_t version = 0;
    std::uint64_t last_id = 0;
};
} // namespace buckthornhill::soak
