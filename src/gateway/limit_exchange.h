#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "accounts/accounts_types.h"
#include "gateway/gateway_settings.h"
#include "gateway/silent_members.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "membership/membership_types.h"
#include "rate_limits/limit_borrower.h"
#include "rate_limits/limit_granter.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
class gateway_metrics;

//! Borrows tokens of the limits of accounts from other instances and lends them to these. Sends nothing for
//! accounts without a limit.
class limit_exchange
{
public:
    //! The request has a token or is refused. Called from inside the methods below.
    using decision_hook = std::function<void(const rate_limits::token_decision&)>;

    limit_exchange(boost::asio::io_context& context, const gateway_settings& settings, incarnation_id run,
                   gateway_metrics& metrics, decision_hook on_decision);
    ~limit_exchange();
    limit_exchange(const limit_exchange&) = delete;
    limit_exchange& operator=(const limit_exchange&) = delete;

    void set_accounts(time_point now, const std::vector<accounts::client_account>& accounts);
    bool has_limits() const { return this->limited_accounts > 0; }
    //! `departed` have announced their end.
    void set_members(time_point now, const std::vector<membership::member_description>& live,
                     std::size_t lately_known, const std::set<instance_id>& departed);
    void acquire(time_point now, const account_id& account, flow_id flow);
    void cancel(const account_id& account, flow_id flow);
    void give_back(time_point now, const account_id& account, const rate_limits::held_token& token);
    void on_tick(time_point now);
    //! This process did not run for this time.
    void on_pause(time_point now, duration paused);
    void update_gauges(time_point now);

    static bool is_limit_call(std::string_view target);
    void on_call(time_point now, const http::exchange_ptr& exchange);

private:
    //! Reports what the borrower has decided and sends what it asks for.
    void pump(time_point now);
    void report(const rate_limits::token_decision& decision);
    void send(const rate_limits::outgoing_ask& ask);
    void log_changes();
    void update_granter(time_point now);

    instance_id self;
    gateway_metrics& metrics;
    decision_hook on_decision;
    rate_limits::borrower_configuration borrowing;
    rate_limits::limit_granter granter;
    rate_limits::limit_borrower borrower;
    std::unordered_map<instance_id, http::endpoint> peers;
    std::vector<instance_id> live;
    std::size_t lately_known = 0;
    silent_members silent;
    bool is_pumping = false;
    std::size_t limited_accounts = 0;
    rate_limits::limit_granter::token_counts reported; //!< to the metrics
    std::unique_ptr<http::http_client> client;
};
} // namespace buckthornhill::gateway
