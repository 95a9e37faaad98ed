#include "daemon/request_engine.h"

#include <boost/asio/io_context.hpp>

#include "daemon/protocol_headers.h"
#include "daemon/request_metrics.h"
#include "daemon/request_translation.h"
#include "daemon/status_report.h"
#include "global/error.h"
#include "global/log.h"
#include "global/periodic_timer.h"
#include "http/http_responses.h"
#include "lists/list_codec.h"
#include "peers/heartbeat_codec.h"

namespace buckthornhill::daemon {
namespace {
constexpr std::string_view log_part = "requests";
constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::uint64_t ticks_per_gauge_update = 50;
constexpr std::chrono::milliseconds peer_message_timeout{1000};
constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::size_t max_idle_connections = 256;

time_point now()
{
    return std::chrono::steady_clock::now();
}

//! A rejected request with a ticket may be a resend of a request that ran before. Only without a ticket is it
//! certain that the request was not executed.
void complete_rejection(http::http_response& response, const http::header_list* received)
{
    const bool has_no_ticket = received != nullptr && http::find_header(*received, headers::ticket).empty();
    response.headers.emplace_back(std::string(headers::outcome), has_no_ticket ? "not-executed" : "unknown");
}

std::string request_id_of(const instance_id& self, flow_id flow, std::uint64_t attempt)
{
    return self.str() + "-" + std::to_string(flow.value()) + "-" + std::to_string(attempt);
}
} // namespace

request_engine::request_engine(boost::asio::io_context& io, const daemon_configuration& settings,
                               request_metrics& request_counters, random_hook source,
                               std::function<void()> stop_handler)
    : configuration(settings)

    , metrics(request_counters)
    , random(std::move(source))
    , on_stopped(std::move(stop_handler))
    , burn({settings.availability_objective, settings.latency_objective})
    , timer(std::make_unique<periodic_timer>(io, tick_interval, [this] { this->on_tick(); }))
    , client(std::make_unique<http::http_client>(
          io, http::client_limits{.max_idle_per_endpoint = max_idle_connections,
                                  .max_body_bytes = settings.caller_limits.max_body_bytes + (4U << 20)}))
{
    this->caller_server = std::make_unique<http::http_server>(
        io, settings.caller_listen, settings.caller_limits,
        [this](const http::exchange_ptr& exchange) { this->on_caller_exchange(exchange); });
    this->caller_server->on_rejection(complete_rejection);
    this->peer_server = std::make_unique<http::http_server>(
        io, settings.peer_listen, settings.peer_limits,
        [this](const http::exchange_ptr& exchange) { this->on_peer_exchange(exchange); });
    auto& self = this->configuration.self;
    self.caller_address = this->caller_server->local_endpoint().str();
    self.peer_address = this->peer_server->local_endpoint().str();
    this->node = std::make_unique<node::entry_node>(self, this->configuration.node, this->random);
}

request_engine::~request_engine() = default;

void request_engine::start()
{
    this->register_seed_peers();
    this->timer->start();
}

void request_engine::register_seed_peers()
{
    std::vector<membership::member_description> seeds;
    for (const auto& address : this->configuration.seed_peers) {
        membership::member_description seed;
        seed.id = instance_id("seed-" + address.str());
        seed.peer_address = address.str();
        seeds.push_back(seed);
    }
    this->node->on_seed_peers(now(), seeds);
}

void request_engine::on_tick()
{
    this->node->on_tick(now());
    this->run_actions();
    if (++this->ticks % ticks_per_gauge_update == 0) {
        this->update_gauges();
    }
    if (this->node->is_stopped()) {
        this->timer->stop();
        this->caller_server->stop_accepting();
        this->on_stopped();
    }
}

void request_engine::update_gauges()
{
    const auto time = now();
    auto& slices = this->node->components();
    for (const auto& report : slices.admission.reports(time)) {
        const auto set = [&](const char* kind, std::int64_t value) {
            this->metrics.set_gauge(kind, report.service, static_cast<double>(value));
        };
        set("owned", report.slots);
        set("usable", report.limit);
        set("in_use", report.in_flight);
        set("queued", report.queued);
        set("headroom", report.limit - report.in_flight);
        set("spare_for_other_regions", report.spare);
        set("used_by_other_regions", slices.admission.find(report.service)->remote_in_flight());
        set("shift_cap", slices.shift.cap(time, report.service));
    }
}

void request_engine::on_caller_exchange(const http::exchange_ptr& exchange)
{
    const auto path = http::path_of(exchange->request().target);
    if (path == paths::lookup) {
        this->on_lookup(exchange);
        return;
    }
    if (path.size() < 2 || path.front() != '/') {
        auto response = http::text_response(400, "the path must start with a service's name: /<service>/...");
        response.headers.emplace_back(std::string(headers::outcome), "not-executed");
        exchange->respond(std::move(response));
        return;
    }
    this->start_flow(exchange, false);
}

void request_engine::on_lookup(const http::exchange_ptr& exchange)
{
    const auto& target = exchange->request().target;
    const service_id service(http::query_value(target, "service"));
    const region_id region(http::query_value(target, "region"));
    const auto ticket_count_text = http::query_value(target, "tickets");
    const auto ticket_count =
        ticket_count_text.empty() ? 0 : std::strtoull(ticket_count_text.c_str(), nullptr, 10);
    this->metrics.record_lookup();
    exchange->respond(lookup_response_of(this->node->look_up(now(), service, region, ticket_count)));
}

void request_engine::start_flow(const http::exchange_ptr& exchange, bool is_from_peer)
{
    const auto time = now();
    const flow_id flow = ++this->last_flow;
    const auto& request = exchange->request();
    node::request_facts facts;
    try {
        facts = facts_of(request, flow, time,
                         {this->configuration.default_deadline, this->configuration.max_deadline});
    } catch (const buckthornhill::error& failure) {
        auto response = http::text_response(400, failure.what());
        response.headers.emplace_back(std::string(headers::outcome), "not-executed");
        exchange->respond(std::move(response));
        return;
    }
    this->flows.emplace(flow,
                        flow_context{exchange, time, is_from_peer, 0, {}, facts.service, facts.customer});
    exchange->on_cancelled([this, flow] {
        this->node->on_cancelled(now(), flow);
        this->run_actions();
    });
    const bool is_resend = is_from_peer && http::find_header(request.headers, headers::kind) == "resend";
    if (is_from_peer && !is_resend) {
        this->node->on_forwarded_request(time, facts, forwarded_facts_of(request));
    } else {
        facts.is_forwarded_resend = is_resend;
        this->node->on_caller_request(time, facts);
    }
    this->run_actions();
}

bool request_engine::has_valid_peer_key(const http::http_request& request) const
{
    const auto received_key = http::find_header(request.headers, headers::peer_key);
    const auto& expected_key = this->configuration.peer_key;
    //! NOTE Compares in constant time, so that the duration does not reveal how many bytes are right.
    unsigned difference = received_key.size() == expected_key.size() ? 0 : 1;
    for (std::size_t i = 0; i < received_key.size() && i < expected_key.size(); ++i) {
        difference |=
            static_cast<unsigned char>(received_key[i]) ^ static_cast<unsigned char>(expected_key[i]);
    }
    return difference == 0;
}

void request_engine::on_peer_exchange(const http::exchange_ptr& exchange)
{
    if (!this->has_valid_peer_key(exchange->request())) {
        exchange->respond(http::text_response(403, "the peer key is missing or wrong"));
        return;
    }
    const auto path = http::path_of(exchange->request().target);
    if (path.starts_with("/.peer/")) {
        this->on_peer_message(exchange, path);
        return;
    }
    this->start_flow(exchange, true);
}

void request_engine::on_peer_message(const http::exchange_ptr& exchange, std::string_view path)
{
    try {
        const auto& body = exchange->request().body;
        if (path == paths::heartbeat) {
            const auto answer = this->node->on_heartbeat(now(), peers::decode_heartbeat(body));
            auto encoded = peers::encode_heartbeat(answer);
            this->metrics.record_heartbeat_bytes(body.size() + encoded.size());
            exchange->respond(http::json_response(std::move(encoded)));
        } else if (path == paths::document) {
            const auto name =
                lists::parse_document_name(http::query_value(exchange->request().target, "name"));
            auto response = http::json_response(this->node->components().lists.body_of(name));
            response.headers.emplace_back(
                "X-Version", std::to_string(this->node->components().lists.version_of(name).value()));
            exchange->respond(std::move(response));
        } else if (path == paths::handover) {
            this->node->on_handover(peers::decode_handover(body));
            exchange->respond(http::text_response(200, "accepted"));
        } else {
            exchange->respond(http::text_response(404, "no such peer message"));
        }
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part, std::string("Rejected a peer message: ") + failure.what() + ".");
        exchange->respond(http::text_response(400, failure.what()));
    }
    this->run_actions();
}

void request_engine::on_store_event(const store::store_event& event)
{
    if (event.kind == store::store_event::event_kind::all_read) {
        this->node->on_store_confirmed(now());
        this->run_actions();
        return;
    }
    const auto result = this->node->on_document(now(), event.name, event.version, event.body);
    const auto document_description =
        std::string(lists::to_string(event.name)) + " version " + std::to_string(event.version.value());
    if (result == lists::offer_result::accepted) {
        log::info(log_part, "Document in force: " + document_description + ".");
        this->report_unreadable_instances(event.name);
    } else if (result == lists::offer_result::rejected) {
        log::error(log_part, "Rejected " + document_description + ": " +
                                 this->node->components().lists.rejection_reason() + ".");
    }
    this->run_actions();
}

void request_engine::report_unreadable_instances(lists::document_name name) const
{
    const auto& reasons = this->node->components().lists.instances().unreadable;
    if (name == lists::document_name::instances && !reasons.empty()) {
        log::warning(log_part, "Left out " + std::to_string(reasons.size()) +
                                   " entries of the list of instances that cannot be read; the first: " +
                                   reasons.front() + ".");
    }
}

void request_engine::begin_leave()
{
    log::info(log_part, "Leaving: peers take over the upstreams of this instance.");
    this->node->begin_leave(now());
    this->run_actions();
}

std::string request_engine::status()
{
    return status_report(*this->node, this->burn, now());
}

void request_engine::run_actions()
{
    for (auto actions = this->node->take_actions(); !actions.empty(); actions = this->node->take_actions()) {
        for (const auto& action : actions) {
            std::visit([this](const auto& chosen) { this->run(chosen); }, action);
        }
    }
}

void request_engine::run(const node::start_upstream_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    const auto id = request_id_of(this->configuration.self.id, action.flow, action.attempt);
    auto request = upstream_request_of(flow.exchange->request(), now(), action.deadline, id);
    const auto choice =
        action.needs_fresh_connection ? http::connection_choice::fresh : http::connection_choice::reuse;
    flow.attempt = action.attempt;
    flow.call = this->client->send(http::parse_endpoint(action.address), std::move(request), action.deadline,
                                   choice, [this, action, id](http::call_result result) {
                                       this->node->on_upstream_result(
                                           now(), action.flow, action.attempt, action.upstream,
                                           upstream_result_of(std::move(result), id));
                                       this->run_actions();
                                   });
}

void request_engine::run(const node::start_peer_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    const auto peer_deadline = action.deadline - this->configuration.node.response_grace;
    auto request = peer_request_of(flow.exchange->request(), action, this->configuration.self,
                                   this->configuration.peer_key, now(), peer_deadline);
    flow.attempt = action.attempt;
    flow.call = this->client->send(
        http::parse_endpoint(action.address), std::move(request), action.deadline,
        http::connection_choice::reuse,
        [this, id = action.flow, attempt = action.attempt](http::call_result result) {
            this->node->on_peer_result(now(), id, attempt, peer_result_of(std::move(result)));
            this->run_actions();
        });
}

void request_engine::run(const node::cancel_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found != this->flows.end() && found->second.attempt == action.attempt) {
        this->client->cancel(found->second.call);
    }
}

void request_engine::run(const node::response_action& action)
{
    const auto extracted = this->flows.extract(action.flow);
    if (extracted.empty()) {
        return;
    }
    const auto& flow = extracted.mapped();
    if (!flow.is_from_peer) {
        this->record_response(flow, action);
    }
    flow.exchange->respond(response_of(action));
}

void request_engine::record_response(const flow_context& flow, const node::response_action& action)
{
    const auto time = now();
    const auto took = time - flow.started_at;
    this->metrics.record_response(flow.service, action.result, action.reason, took);
    const bool is_ticket_exchange = action.reason == admission::refusal_reason::ticket_required;
    if (!is_ticket_exchange && this->node->components().directory.has_service(flow.service)) {
        const bool is_on_plan = this->node->components().usage.is_on_plan(flow.customer);
        this->burn.record_response(
            time, flow.service, is_on_plan ? burn::customer_group::on_plan : burn::customer_group::off_plan,
            action.result == requests::outcome::done, took);
    }
}

http::http_request request_engine::make_peer_message(std::string_view path, std::string body) const
{
    http::http_request request;
    request.method = "POST";
    request.target = std::string(path);
    request.headers.emplace_back(std::string(headers::peer_key), this->configuration.peer_key);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

void request_engine::run(const node::heartbeat_action& action)
{
    auto request = this->make_peer_message(paths::heartbeat, peers::encode_heartbeat(action.message));
    this->metrics.record_heartbeat_bytes(request.body.size());
    this->client->send(
        http::parse_endpoint(action.address), std::move(request), now() + peer_message_timeout,
        http::connection_choice::reuse, [this, peer = action.peer](const http::call_result& result) {
            if (result.status == http::call_status::connect_failed) {
                this->node->on_peer_unreachable(now(), peer);
            }
            if (result.status != http::call_status::complete || result.response.status != 200) {
                return;
            }
            try {
                this->metrics.record_heartbeat_bytes(result.response.body.size());
                this->node->on_heartbeat_response(now(), peers::decode_heartbeat(result.response.body));
            } catch (const buckthornhill::error& failure) {
                log::warning(log_part, std::string("Rejected a heartbeat response: ") + failure.what() + ".");
            }
            this->run_actions();
        });
}

void request_engine::run(const node::fetch_document_action& action)
{
    http::http_request request = this->make_peer_message(
        std::string(paths::document) + "?name=" + std::string(lists::to_string(action.name)), "");
    request.method = "GET";
    this->client->send(http::parse_endpoint(action.address), std::move(request), now() + peer_message_timeout,
                       http::connection_choice::reuse,
                       [this, name = action.name](const http::call_result& result) {
                           const auto version = store::version_in(result.response);
                           if (result.status == http::call_status::complete && version > object_version{}) {
                               this->on_store_event({store::store_event::event_kind::document, name, version,
                                                     result.response.body});
                           }
                       });
}

void request_engine::run(const node::probe_action& action)
{
    http::http_request request;
    request.target = std::string(paths::upstream_health);
    this->client->send(
        http::parse_endpoint(action.address), std::move(request), now() + probe_timeout,
        http::connection_choice::reuse, [this, upstream = action.upstream](http::call_result result) {
            const auto answer = upstream_result_of(std::move(result), {});
            const bool is_alive = answer.upstream_response && answer.upstream_response->status == 200;
            this->node->on_probe_result(now(), upstream,
                                        {is_alive, answer.is_leaving, answer.reported_in_use});
            this->run_actions();
        });
}

void request_engine::run(const node::handover_action& action)
{
    this->client->send(http::parse_endpoint(action.address),
                       this->make_peer_message(paths::handover, peers::encode_handover(action.handover)),
                       now() + peer_message_timeout, http::connection_choice::reuse,
                       [this](const http::call_result& result) {
                           const bool is_accepted =
                               result.status == http::call_status::complete && result.response.status == 200;
                           this->node->on_handover_response(is_accepted);
                           this->run_actions();
                       });
}
} // namespace buckthornhill::daemon
