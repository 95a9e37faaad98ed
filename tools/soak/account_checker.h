#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "account_plan.h"
#include "global/units.h"

namespace buckthornhill::soak {
//! Bounds from the user documentation on what the gateways together do for the accounts.
struct account_bounds
{
    std::chrono::milliseconds revoke{5000}; //!< from the revocation of a key to its last request
    std::chrono::milliseconds notice{2000}; //!< from the acknowledgement of a new key until it must be served
    std::chrono::milliseconds quota_window{5000};
    double quota_overrun = 0.1;
    double quota_slack = 20; //!< requests
    std::size_t tolerated_rejections = 3;
};

//! What an upstream saw of a request.
struct account_arrival
{
    std::string upstream;
    std::string region; //!< of the upstream
    std::string account;
    std::string key;
    bool is_executed = false;
};

//! Records which keys were configured when, and which requests reached the upstreams for which account. No
//! fault excuses anything here. Uses neither sockets nor a clock.
class account_checker
{
public:
    explicit account_checker(const account_bounds& bounds)
        : bounds(bounds)
    {
    }

    void on_account(const client_account& account) { this->accounts[account.name] = account; }
    //! The configuration that is written at `at` has a new key.
    void on_key_added(time_point at, const std::string& key, const std::string& account);
    //! The store acknowledged a configuration without the key.
    void on_key_revoked(time_point at, const std::string& key) { this->keys.at(key).revoked_at = at; }
    void on_sent(time_point at, const std::string& request, const std::string& key);
    //! The caller was told that its key is unknown.
    void on_rejected(time_point at, const std::string& request);
    void on_arrival(time_point at, const std::string& request, const account_arrival& seen);
    //! A request that is sent now with this key must be served if nothing else stands against it.
    bool is_owed(time_point at, const std::string& key) const;

    //! One line for each rule that was broken.
    std::vector<std::string> violations() const;

private:
    struct key_record
    {
        std::string account;
        time_point added_at;
        time_point revoked_at = time_point::max();
    };
    struct arrival
    {
        time_point at;
        account_arrival seen;
    };
    struct request_record
    {
        time_point sent_at;
        std::string key;
        std::optional<time_point> rejected_at;
        std::vector<arrival> arrivals;
    };
    using counts = std::map<std::string, std::vector<std::string>>; //!< requests by broken rule

    void check_arrival(const std::string& id, const request_record& request, const arrival& one,
                       counts& broken) const;
    //! The rejection of a key that every configuration from the sending on held.
    bool is_wrong_rejection(const request_record& request) const;
    void check_limit(const client_account& account, std::vector<std::string>& found) const;

    account_bounds bounds;
    std::map<std::string, client_account> accounts;
    std::map<std::string, key_record> keys;
    std::map<std::string, request_record> requests;
};
} // namespace buckthornhill::soak
