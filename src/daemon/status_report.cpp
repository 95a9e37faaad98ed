#include "daemon/status_report.h"

#include <boost/json.hpp>

#include "burn/burn_recorder.h"
#include "lists/list_codec.h"
#include "node/entry_node.h"

namespace buckthornhill::daemon {
namespace json = boost::json;

namespace {
std::string_view state_name(membership::member_state state)
{
    static constexpr std::string_view names[] = {"seeded", "joining", "live", "leaving", "gone"};
    return names[static_cast<std::size_t>(state)];
}

json::object describe_member(const membership::member_record& record)
{
    const auto& description = record.description;
    return {{"id", description.id.str()},
            {"incarnation", std::to_string(description.incarnation.value())},
            {"region", description.region.str()},
            {"domain", description.domain.str()},
            {"caller_address", description.caller_address},
            {"state", state_name(record.state)}};
}

json::array describe_services(node::node_components& slices, time_point now)
{
    json::array services;
    for (const auto& report : slices.admission.reports(now)) {
        services.push_back({{"service", report.service.str()},
                            {"slots", report.slots},
                            {"limit", report.limit},
                            {"in_flight", report.in_flight},
                            {"queued", report.queued},
                            {"spare", report.spare},
                            {"mean_service_us", report.mean_service_us},
                            {"remote_in_flight", slices.admission.find(report.service)->remote_in_flight()},
                            {"is_shifting", slices.selector.is_shifting(report.service)}});
    }
    return services;
}

//! The number of requests in progress at the upstreams of this instance that the drain mark covers.
std::int64_t running_requests_covered_by(const lists::drain_mark& mark, const node::node_components& slices)
{
    std::int64_t running = 0;
    for (const auto& [service, admission] : slices.admission.services()) {
        for (const auto& [id, upstream] : admission.upstreams()) {
            running += drain::covers(mark, upstream.description()) ? upstream.in_flight() : 0;
        }
    }
    return running;
}

json::array describe_drains(const node::node_components& slices)
{
    json::array drains;
    for (const auto& decision : slices.drain_gate.decisions()) {
        json::array notifications;
        for (const auto& call : decision.pending_notifications) {
            notifications.push_back({{"customer", call.customer.str()},
                                     {"subject", call.subject},
                                     {"region", call.region.str()},
                                     {"service", call.service.str()},
                                     {"promised_slots", call.promised_slots.value()},
                                     {"available_slots", call.available_slots.value()}});
        }
        drains.push_back({{"id", decision.mark.id},
                          {"kind", lists::to_string(decision.mark.kind)},
                          {"target", decision.mark.target},
                          {"state", decision.is_released ? "in-effect" : "waiting-for-calls"},
                          {"running", running_requests_covered_by(decision.mark, slices)},
                          {"notifications_due", std::move(notifications)}});
    }
    return drains;
}

json::array describe_upstreams(node::node_components& slices, time_point now)
{
    json::array upstreams;
    for (auto& [service, admission] : slices.admission.services()) {
        for (const auto& [id, upstream] : admission.upstreams()) {
            upstreams.push_back({{"id", id.str()},
                                 {"service", service.str()},
                                 {"slots", upstream.description().slots.value()},
                                 {"limit", upstream.limit(now)},
                                 {"in_flight", upstream.in_flight()},
                                 {"admits", upstream.admits()}});
        }
    }
    return upstreams;
}
json::object describe_burn(const burn::burn_recorder& burn, time_point now)
{
    json::array rows;
    for (const auto& service : burn.services()) {
        for (const auto group : {burn::customer_group::on_plan, burn::customer_group::off_plan}) {
            json::object windows;
            for (const auto& window : burn::burn_windows) {
                const auto counts = burn.counts(now, service, group, window.length);
                windows[window.name] = {{"good", counts.good}, {"bad", counts.bad}};
            }
            rows.push_back({{"service", service.str()},
                            {"customers", group == burn::customer_group::on_plan ? "on-plan" : "off-plan"},
                            {"windows", std::move(windows)}});
        }
    }
    return {{"availability_objective", burn.objectives().availability},
            {"latency_objective_ms", burn.objectives().latency.count()},
            {"rows", std::move(rows)}};
}
} // namespace

std::string status_report(node::entry_node& node, const burn::burn_recorder& burn, time_point now)
{
    auto& slices = node.components();
    json::object report = describe_member(slices.members.self());
    report["is_resynchronizing"] = node.is_resynchronizing();
    report["is_confirmed"] = node.is_confirmed(now);
    report["flows"] = node.flow_count();
    report["running_tickets"] = slices.tickets.running_count();
    json::object versions;
    for (const auto name : lists::all_documents) {
        versions[lists::to_string(name)] = slices.lists.version_of(name).value();
    }
    report["versions"] = std::move(versions);
    json::array members;
    for (const auto& [id, member] : slices.members.all()) {
        members.push_back(describe_member(member.record));
    }
    report["members"] = std::move(members);
    report["services"] = describe_services(slices, now);
    report["upstreams"] = describe_upstreams(slices, now);
    report["drains"] = describe_drains(slices);
    report["burn"] = describe_burn(burn, now);
    report["suspected_requests"] = slices.crashes.size();
    return json::serialize(report);
}
} // namespace buckthornhill::daemon
