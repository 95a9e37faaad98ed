#include "upstream_fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "global/json_reader.h"
#include "http/http_server.h"

namespace buckthornhill::standins {
namespace json = boost::json;

namespace {
http::http_response json_response(std::string body)
{
    http::http_response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

//! An upstream of a service; `number` assigns upstreams to the failure domains in round-robin order.
ownership::upstream_description describe(const json_reader& service, const json_reader& deployment,
                                         std::size_t number)
{
    const auto domains = deployment.array("domains").size();
    const auto domain = deployment.element("domains", number % domains);
    ownership::upstream_description upstream;
    upstream.service = service_id(service.text("name"));
    upstream.id = upstream_id(upstream.service.str() + "-" + std::to_string(number));
    upstream.region = region_id(domain.text("region"));
    upstream.domain = domain_id(domain.text("name"));
    upstream.slots = slot_count(service.integer("slots"));
    return upstream;
}
} // namespace

upstream_fleet::upstream_fleet(boost::asio::io_context& context, std::string_view deployment,
                               const upstream_behavior& behavior)
{
    const auto value = parse_json(deployment, "deployment");
    const json_reader reader(value, "deployment");
    std::size_t next_number = 0;
    for (std::size_t i = 0; i < reader.array("services").size(); ++i) {
        const auto service = reader.element("services", i);
        const auto count = static_cast<std::size_t>(service.integer("upstreams"));
        for (std::size_t n = 0; n < count; ++n) {
            auto upstream = describe(service, reader, next_number++);
            this->upstreams.push_back(
                std::make_unique<upstream_standin>(context, std::move(upstream), behavior, this->log));
        }
    }
    this->control = std::make_unique<http::http_server>(
        context, http::endpoint{"127.0.0.1", 0}, http::server_limits{},
        [this](const http::exchange_ptr& exchange) { this->on_control(exchange); });
}

upstream_fleet::~upstream_fleet() = default;

std::string upstream_fleet::ready_line() const
{
    json::array list;
    for (const auto& upstream : this->upstreams) {
        const auto& description = upstream->description();
        list.push_back({{"id", description.id.str()},
                        {"service", description.service.str()},
                        {"region", description.region.str()},
                        {"domain", description.domain.str()},
                        {"address", description.address},
                        {"slots", description.slots.value()},
                        {"state", "live"}});
    }
    return json::serialize(
        json::value{{"control", this->control->local_endpoint().str()}, {"upstreams", std::move(list)}});
}

std::string upstream_fleet::log_text() const
{
    json::object object;
    for (const auto& [order, runs] : this->log) {
        object[order] = runs;
    }
    return json::serialize(object);
}

std::string upstream_fleet::counts_text() const
{
    json::object object;
    for (const auto& upstream : this->upstreams) {
        const auto& counts = upstream->counts();
        object[upstream->description().id.str()] = {{"runs", counts.runs},
                                                    {"sheds", counts.sheds},
                                                    {"cancelled", counts.cancelled},
                                                    {"crashes", counts.crashes},
                                                    {"runs_while_draining", counts.runs_while_draining},
                                                    {"max_in_use", counts.max_in_use},
                                                    {"slots", upstream->description().slots.value()}};
    }
    return json::serialize(object);
}

void upstream_fleet::on_control(const http::exchange_ptr& exchange)
{
    const auto& target = exchange->request().target;
    const auto path = http::path_of(target);
    if (path == "/control/log") {
        exchange->respond(json_response(this->log_text()));
        return;
    }
    if (path == "/control/counts") {
        exchange->respond(json_response(this->counts_text()));
        return;
    }
    const auto id = http::query_value(target, "id");
    for (const auto& upstream : this->upstreams) {
        if (path == "/control/drain" && (id.empty() || upstream->description().id.str() == id)) {
            upstream->set_draining(true);
        }
        if (path == "/control/behavior") {
            upstream_behavior behavior;
            behavior.service_us = std::stoi(http::query_value(target, "service_us"));
            behavior.cold_us = std::stoi(http::query_value(target, "cold_us"));
            upstream->set_behavior(behavior);
        }
    }
    exchange->respond(json_response("{}"));
}
} // namespace buckthornhill::standins
