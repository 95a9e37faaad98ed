#include "gateway/plan_exchange.h"

#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_errors.h"
#include "gateway/gateway_translation.h"
#include "gateway/plan_message_codec.h"
#include "global/error.h"
#include "global/log.h"
#include "http/body_coding.h"
#include "http/http_responses.h"
#include "placement/planner_selection.h"

namespace buckthornhill::gateway {
namespace {
//! An instance that handles a tenth of a region's requests or more knows from its own which upstreams are
//! busy. A plan would then only make objects cold that it moves.
constexpr std::size_t min_instances_to_plan = 10;
constexpr std::string_view log_part = "plan";
constexpr std::string_view plan_path = "/peer/plan";
constexpr std::chrono::milliseconds report_timeout{700};
constexpr std::chrono::milliseconds report_interval{2000};
//! While objects are asked for that are not planned: until they are, instances use the ranking for them.
constexpr std::chrono::milliseconds short_report_interval{500};
constexpr unsigned status_ok = 200;
} // namespace

plan_exchange::plan_exchange(boost::asio::io_context& context, const gateway_settings& initial_settings,
                             proxy::proxy_core& decisions)
    : settings(initial_settings)
    , core(decisions)
    , client(std::make_unique<http::http_client>(context, peer_limits(initial_settings, report_timeout)))
{
    this->core.placement().demand().enable();
}

plan_exchange::~plan_exchange() = default;

bool plan_exchange::is_plan_call(std::string_view target)
{
    return http::path_of(target) == plan_path;
}

placement::planning_view plan_exchange::planning() const
{
    return {this->core.upstreams(), this->core.placement().regions()};
}

void plan_exchange::set_members(time_point now, const std::vector<membership::member_description>& live)
{
    std::map<instance_id, const membership::member_description*> in_region;
    std::vector<instance_id> ids;
    for (const auto& member : live) {
        if (member.region == this->settings.where.region) {
            ids.push_back(member.id);
            in_region[member.id] = &member;
        }
    }
    const bool is_useful = ids.size() >= min_instances_to_plan;
    const auto chosen = is_useful ? placement::planner_of(this->settings.where.region, ids) : instance_id{};
    this->has_new_planner = this->has_new_planner || chosen != this->planning_instance.id;
    this->planning_instance = chosen.empty() ? membership::member_description{} : *in_region.at(chosen);
    this->change_role(now, chosen == this->settings.id);
}

void plan_exchange::change_role(time_point now, bool plans)
{
    if (plans == this->planner.is_planning()) {
        return;
    }
    auto& copy = this->core.placement().planned_objects();
    if (plans) {
        this->planner.begin(now, copy, this->settings.id);
    } else {
        this->planner.cease();
        this->logged_epoch = 0;
    }
    log::event(log_part, plans ? "planning_begun" : "planning_ended",
               {{"region", this->settings.where.region.str()},
                {"known_epoch", copy.stamp().epoch},
                {"known_objects", copy.size()}});
}

void plan_exchange::on_tick(time_point now)
{
    this->planner.on_tick(now, this->planning());
    this->log_epoch();
    if (this->is_reporting || this->planning_instance.id.empty()) {
        return;
    }
    const bool is_urgent =
        this->is_copy_wanted || this->has_new_planner || this->core.placement().demand().has_unplanned();
    const auto interval = is_urgent ? short_report_interval : report_interval;
    if (now - this->last_report_at >= interval) {
        this->last_report_at = now;
        this->send_report(now);
    }
}

placement::plan_reply plan_exchange::plan_for(time_point now, const placement::plan_report& report)
{
    auto reply = this->planner.on_report(now, this->planning(), report);
    this->log_epoch();
    return reply;
}

void plan_exchange::log_epoch()
{
    const auto epoch = this->planner.plan_epoch();
    if (std::exchange(this->logged_epoch, epoch) != epoch && epoch > 0) {
        log::event(log_part, "epoch_begun", {{"epoch", epoch}, {"objects", this->planner_state().objects}});
    }
}

placement::plan_report plan_exchange::make_report()
{
    auto& placement = this->core.placement();
    placement::plan_report report;
    report.region = this->settings.where.region;
    report.known = placement.planned_objects().stamp();
    report.demand = placement.demand().take();
    if (std::exchange(this->is_copy_wanted, false)) {
        report.copy = placement.planned_objects().whole();
    }
    return report;
}

void plan_exchange::send_report(time_point now)
{
    const auto report = this->make_report();
    if (this->planner.is_planning()) {
        this->on_reply(this->plan_for(now, report));
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.target = plan_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = encode_plan_report(report);
    http::compress_body(request.headers, request.body);
    this->is_reporting = true;
    this->client->send(http::parse_endpoint(this->planning_instance.peer_address), std::move(request),
                       now + report_timeout, http::connection_choice::reuse,
                       [this, asked = this->planning_instance.id](const http::call_result& result) {
                           this->is_reporting = false;
                           const bool is_answered = result.status == http::call_status::complete &&
                                                    result.response.status == status_ok;
                           //! NOTE Another instance may have become the planner since.
                           if (!is_answered || asked != this->planning_instance.id) {
                               return;
                           }
                           try {
                               this->on_reply(decode_plan_reply(http::decompressed_body(
                                   result.response.headers, result.response.body, max_peer_message_bytes)));
                           } catch (const buckthornhill::error& failure) {
                               log::event(log_part, "reply_unreadable", {{"reason", failure.what()}});
                           }
                       });
}

void plan_exchange::on_reply(const placement::plan_reply& reply)
{
    this->has_new_planner = false;
    this->is_copy_wanted = reply.wants_copy;
    if (reply.update) {
        this->core.placement().planned_objects().apply(*reply.update);
    }
}

void plan_exchange::on_call(time_point now, const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    const auto report =
        decode_plan_report(http::decompressed_body(request.headers, request.body, max_peer_message_bytes));
    if (report.region != this->settings.where.region) {
        throw gateway_error("a report of the region " + report.region.str());
    }
    exchange->respond(http::compressed_json_response(encode_plan_reply(this->plan_for(now, report))));
}

std::size_t plan_exchange::planned_count() const
{
    return this->core.placement().planned_objects().size();
}

placement::object_planner::figures plan_exchange::planner_state() const
{
    return this->planner.state(this->planning());
}
} // namespace buckthornhill::gateway
