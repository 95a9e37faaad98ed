#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "gateway/gateway_settings.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "membership/membership_types.h"
#include "placement/object_planner.h"
#include "proxy/proxy_core.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Reports the demand for objects to the instance that plans for this region, and gets the changes of the
//! plan in return; plans itself while it is that instance. Runs entirely on the request thread.
class plan_exchange
{
public:
    plan_exchange(boost::asio::io_context& context, const gateway_settings& settings,
                  proxy::proxy_core& core);
    ~plan_exchange();
    plan_exchange(const plan_exchange&) = delete;
    plan_exchange& operator=(const plan_exchange&) = delete;

    //! Live instances of all regions, this one included.
    void set_members(time_point now, const std::vector<membership::member_description>& live);
    void on_tick(time_point now);

    static bool is_plan_call(std::string_view target);
    void on_call(time_point now, const http::exchange_ptr& exchange);

    //! Objects in this instance's copy of the plan.
    std::size_t planned_count() const;
    //! What this instance plans; without an epoch while it does not plan.
    placement::object_planner::figures planner_state() const;

private:
    placement::planning_view planning() const;
    placement::plan_reply plan_for(time_point now, const placement::plan_report& report);
    void log_epoch();
    void change_role(time_point now, bool plans);
    placement::plan_report make_report();
    void send_report(time_point now);
    void on_reply(const placement::plan_reply& reply);

    gateway_settings settings;
    proxy::proxy_core& core;
    placement::object_planner planner;
    std::unique_ptr<http::http_client> client;
    membership::member_description planning_instance; //!< without an id while there is none
    time_point last_report_at{};
    std::uint64_t logged_epoch = 0;
    bool is_reporting = false; //!< a report has not been answered yet
    bool is_copy_wanted = false;
    bool has_new_planner = false; //!< that has not answered yet
};
} // namespace buckthornhill::gateway
