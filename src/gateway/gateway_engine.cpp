#include "gateway/gateway_engine.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_translation.h"
#include "global/error.h"
#include "global/log.h"
#include "global/periodic_timer.h"
#include "http/hop_headers.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::string_view log_part = "requests";
constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::seconds gauge_interval{1};
//! Longer than the tick delays of a busy machine, shorter than any caller's timeout.
constexpr std::chrono::milliseconds min_reported_pause{500};
constexpr std::size_t max_lookup_connections = 512;
constexpr unsigned status_malformed = 400;
constexpr unsigned status_no_route = 404;
constexpr unsigned status_unavailable = 503;
constexpr std::chrono::milliseconds leaving_retry_after{50}; //!< another instance can serve at once
//! Another instance may have room at once, and at this one the usual upload is through within this time.
constexpr std::chrono::milliseconds rejected_retry_after{200};
constexpr int max_ttl_multiple = 3; //!< some callers cache look-up responses for this multiple of the TTL

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

gateway_engine::gateway_engine(boost::asio::io_context& context, const gateway_settings& initial_settings,
                               const gateway_dialect& platform_dialect, gateway_metrics& gateway_counters,
                               const random_hook& random, hooks hooks_to_call)
    : settings(initial_settings)
    , dialect(platform_dialect)
    , metrics(gateway_counters)
    , callbacks(std::move(hooks_to_call))
    , core(initial_settings.id, initial_settings.where, initial_settings.proxy, random)
    , view(platform_dialect, this->core, initial_settings.watcher.reconciliation())
    , timer(std::make_unique<periodic_timer>(context, tick_interval, [this] { this->on_tick(); }))
    , memory(make_memory_budget(initial_settings))
    , upstream_client(
          std::make_unique<http::http_client>(context, upstream_limits(initial_settings, this->memory)))
    , end_detector(context, initial_settings.upstream_connect_timeout,
                   [this](const upstream_run& run, bool has_ended, const std::string& evidence) {
                       this->on_upstream_checked(run, has_ended, evidence);
                   })
    , witnesses(witness_search_limits(initial_settings))
    , pause_monitor(min_reported_pause)
{
    this->core.set_boot_clock(time_since_boot);
    this->relay = this->make_relay(context);
    this->crashes = std::make_unique<crash_exchange>(context, initial_settings, this->core.suspects(),
                                                     [this] { return this->peers->live_members(); });
    this->peers = this->make_gossip(context, random);
    this->archive = this->make_archive(context, random);
    this->confirmations = this->make_confirmations(context, random);
    this->limits = this->make_limits(context);
    if (initial_settings.has_object_plan) {
        this->plans = std::make_unique<plan_exchange>(context, initial_settings, this->core);
    }
    this->caller_server = std::make_unique<http::http_server>(
        context, initial_settings.caller_endpoint, caller_limits_of(initial_settings, {}, this->memory),
        [this](const http::exchange_ptr& exchange) { this->on_caller(exchange); });
    this->caller_server->on_concurrency_check(
        [this](const http::http_request& request) { return this->is_repeatable(request); });
    this->caller_server->on_rejection([this](http::http_response& response, const http::header_list*) {
        this->on_caller_rejected(response);
    });
    http::server_limits small_server_limits;
    small_server_limits.max_connections = max_lookup_connections;
    this->lookup_server = std::make_unique<http::http_server>(
        context, initial_settings.lookup_endpoint, small_server_limits,
        [this](const http::exchange_ptr& exchange) { this->on_lookup(exchange); });
    this->readiness_server = std::make_unique<http::http_server>(
        context, initial_settings.readiness_endpoint, small_server_limits,
        [this](const http::exchange_ptr& exchange) { this->on_readiness(exchange); });
}

gateway_engine::~gateway_engine() = default;

void gateway_engine::start()
{
    this->timer->start();
}

void gateway_engine::on_tick()
{
    const auto time = now();
    this->check_for_pause(time);
    if (this->core.upstreams().takes_check(time)) {
        this->callbacks.on_check_needed(store::collection::upstreams);
    }
    this->core.on_tick(time);
    this->run_actions();
    this->peers->on_tick(time);
    this->relay->on_tick(time);
    this->archive->on_tick(time);
    this->search_witnesses(time);
    this->check_confirmation(time);
    this->limits->on_tick(time);
    if (this->plans != nullptr) {
        this->plans->on_tick(time);
    }
    this->advance_leave(time);
    if (time >= this->next_gauge_update) {
        this->next_gauge_update = time + gauge_interval;
        this->update_shared_limits();
        this->update_gauges();
    }
}

void gateway_engine::check_for_pause(time_point time)
{
    const auto paused = this->pause_monitor.observe(time, time_since_boot());
    if (paused == duration{}) {
        return;
    }
    log::event("gateway", "paused",
               {{"ms", to_milliseconds(paused)}, {"waiting", this->core.waiting_count()}});
    this->core.on_pause(time);
    this->limits->on_pause(time, paused);
    this->peers->on_pause(time);
    this->relay->on_pause(time);
    for (const auto which : store::all_collections) {
        if (which != store::collection::instances) {
            this->callbacks.on_refresh_needed(which);
        }
    }
}

std::vector<std::string> gateway_engine::apply(const gateway_settings& new_settings)
{
    std::vector<std::string> changed;
    const auto update_setting = [&changed](auto& current, const auto& wanted, const char* name) {
        if (current != wanted) {
            current = wanted;
            changed.emplace_back(name);
        }
    };
    update_setting(this->settings.lookup_ttl_bound, new_settings.lookup_ttl_bound, "lookup-ttl-bound");
    update_setting(this->settings.stop_grace, new_settings.stop_grace, "stop-grace");
    update_setting(this->settings.proxy.retry_ratio, new_settings.proxy.retry_ratio, "retry-ratio");
    update_setting(this->settings.proxy.retry_burst, new_settings.proxy.retry_burst, "retry-burst");
    this->core.set_retry_budget(new_settings.proxy.retry_ratio, new_settings.proxy.retry_burst);
    return changed;
}

void gateway_engine::update_shared_limits()
{
    const auto previous = this->core.retry_budget_instances();
    const auto time = now();
    const auto known = this->peers->known_instances(time);
    this->has_lost_sight = std::ranges::any_of(known, [](const placement::known_instance& instance) {
        return !instance.has_left && instance.silent_for > duration{};
    });
    this->core.set_instances(time, this->peers->live_count(), known);
    this->limits->set_members(time, this->peers->live_members(), this->core.retry_budget_instances(),
                              this->peers->departed());
    if (this->plans != nullptr) {
        this->plans->set_members(time, this->peers->live_members());
    }
    if (this->core.retry_budget_instances() != previous) {
        log::event(log_part, "retry_budget_divided", {{"instances", this->core.retry_budget_instances()}});
    }
}

void gateway_engine::on_members_changed()
{
    this->update_shared_limits();
    this->relay->set_members(this->peers->live_in_domain());
}

void gateway_engine::on_peer_ahead(store::collection which)
{
    if (this->relay->asks_store_when_behind()) {
        this->callbacks.on_refresh_needed(which);
    }
}

bool gateway_engine::is_serving() const
{
    return !this->leave.is_leaving() && this->peers->state() == membership::member_state::live;
}

void gateway_engine::on_readiness(const http::exchange_ptr& exchange)
{
    if (!this->dialect.is_readiness_check(exchange->request())) {
        exchange->respond(http::text_response(status_no_route, "no such call"));
        return;
    }
    exchange->respond(this->is_serving() ? http::text_response(200, "ready")
                                         : http::text_response(status_unavailable, "not ready"));
}

void gateway_engine::on_lookup(const http::exchange_ptr& exchange)
{
    const auto query = this->dialect.read_lookup(exchange->request());
    if (!query) {
        exchange->respond(http::text_response(status_no_route, "no such call"));
        return;
    }
    this->metrics.on_lookup();
    const auto addresses = this->peers->addresses_for(query->region, query->domain);
    if (addresses.empty()) {
        exchange->respond(http::text_response(status_unavailable, "no instance is ready"));
        return;
    }
    exchange->respond(this->dialect.write_lookup(addresses, this->settings.effective_lookup_ttl()));
}

bool gateway_engine::is_repeatable(const http::http_request& request) const
{
    const auto* route =
        this->core.routes().find(host_of(request), std::string(http::path_of(request.target)));
    return route != nullptr && route->repeats == routing::repeat_rule::repeatable;
}

void gateway_engine::on_caller_rejected(http::http_response& response)
{
    const std::string reason = response.body.substr(0, response.body.find('\n'));
    log::event(log_part, "rejected", {{"status", response.status}, {"reason", reason}});
    if (response.status == status_unavailable) {
        response = this->dialect.write_refusal(rejected_retry_after, refusal_kind::unavailable);
    }
}

void gateway_engine::on_caller(const http::exchange_ptr& exchange)
{
    const auto time = now();
    const flow_id flow = ++this->last_flow;
    request_metadata metadata;
    try {
        metadata = this->dialect.read_request(exchange->request());
    } catch (const buckthornhill::error& failure) {
        exchange->respond(http::text_response(status_malformed, failure.what()));
        return;
    }
    const auto facts = facts_of(exchange->request(), metadata, flow, exchange->received_at());
    gateway_flow new_flow;
    new_flow.exchange = exchange;
    new_flow.body = take_body(exchange->request());
    new_flow.request_id = std::move(metadata.request_id);
    new_flow.object = std::move(metadata.object);
    new_flow.request_fingerprint = facts.request_fingerprint;
    new_flow.arrived_at = exchange->received_at();
    auto latest_end = facts.deadline;
    if (const auto* route = this->core.routes().find(facts.host, facts.path)) {
        new_flow.route = route->name;
        latest_end = std::min(latest_end, facts.arrived_at + route->timeout);
    }
    this->flows.emplace(flow, std::move(new_flow));
    if (!this->leave.accepts_request(time, latest_end)) {
        this->respond(flow, this->dialect.write_refusal(leaving_retry_after, refusal_kind::unavailable),
                      "refused", "leaving");
        return;
    }
    exchange->on_cancelled([this, flow] {
        this->core.on_cancelled(now(), flow);
        this->run_actions();
        if (this->core.find(flow) == nullptr) {
            this->flows.erase(flow);
        }
    });
    this->core.on_request(time, facts);
    this->run_actions();
}

void gateway_engine::begin_leave()
{
    if (this->leave.is_leaving()) {
        return;
    }
    const auto time = now();
    this->leave.begin(time,
                      {this->settings.effective_lookup_ttl() * max_ttl_multiple, this->settings.stop_grace});
    this->caller_server->announce_close();
    this->peers->begin_leave(time);
    this->relay->begin_leave(time);
    log::event(log_part, "leaving", {{"in_progress", this->flows.size()}});
}

void gateway_engine::advance_leave(time_point time)
{
    if (this->leave.is_over(time, !this->flows.empty() || !this->caller_server->is_idle())) {
        this->timer->stop();
        this->caller_server->stop_accepting();
        this->callbacks.on_stopped();
    }
}

} // namespace buckthornhill::gateway
