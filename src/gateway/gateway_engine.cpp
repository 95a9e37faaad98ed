#include "gateway/gateway_engine.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

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
//! Longer than a busy machine delays a tick, shorter than any caller's patience.
constexpr std::chrono::milliseconds shortest_pause{500};
constexpr std::size_t max_lookup_connections = 512;
constexpr unsigned status_malformed = 400;
constexpr unsigned status_no_route = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
constexpr std::chrono::milliseconds retry_after_leave{50}; //!< another instance serves at once
constexpr int longest_cache = 3;                           //!< times the time that a look-up answer allows

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

gateway_engine::gateway_engine(boost::asio::io_context& context, const gateway_settings& wanted,
                               const gateway_dialect& spelling, gateway_metrics& counters,
                               const random_hook& random, hooks reactions)
    : settings(wanted)
    , dialect(spelling)
    , metrics(counters)
    , callbacks(std::move(reactions))
    , core(wanted.id, wanted.where, wanted.proxy, random)
    , view(spelling, this->core)
    , timer(std::make_unique<periodic_timer>(context, tick_interval, [this] { this->on_tick(); }))
    , upstreams(std::make_unique<http::http_client>(context, upstream_limits(wanted)))
    , pauses(shortest_pause)
{
    peer_circle::hooks peer_hooks;
    peer_hooks.on_collection = [this](const store::collection_update& update) {
        this->on_collection(update);
    };
    peer_hooks.on_behind = [this](store::collection which) { this->on_behind(which); };
    peer_hooks.on_members_changed = [this] { this->on_members_changed(); };
    peer_hooks.on_other_call = [this](const http::exchange_ptr& exchange) {
        if (!store_relay::is_call(exchange->request().target)) {
            return false;
        }
        this->relay->on_follower(now(), exchange);
        return true;
    };
    this->relay = this->make_relay(context);
    this->circle = std::make_unique<peer_circle>(context, wanted, this->view, random, std::move(peer_hooks));
    this->callers = std::make_unique<http::http_server>(
        context, wanted.callers, caller_limits_of(wanted, {}),
        [this](const http::exchange_ptr& exchange) { this->on_caller(exchange); });
    this->callers->on_concurrency_check(
        [this](const http::http_request& request) { return this->may_repeat(request); });
    http::server_limits small;
    small.max_connections = max_lookup_connections;
    this->lookups = std::make_unique<http::http_server>(
        context, wanted.lookups, small,
        [this](const http::exchange_ptr& exchange) { this->on_lookup(exchange); });
    this->readiness = std::make_unique<http::http_server>(
        context, wanted.readiness, small,
        [this](const http::exchange_ptr& exchange) { this->on_readiness(exchange); });
}

gateway_engine::~gateway_engine() = default;

std::unique_ptr<store_relay> gateway_engine::make_relay(boost::asio::io_context& context)
{
    store_relay::hooks hooks;
    hooks.on_collection = [this](const store::collection_update& update) { this->on_collection(update); };
    hooks.on_source_changed = [this](bool watches_store) {
        std::optional<std::map<store::collection, object_version>> known;
        if (watches_store) {
            known = this->view.known_at();
        }
        this->callbacks.on_store_watch(known);
    };
    hooks.on_followed_changed = [this](bool is_followed) {
        this->callbacks.on_followed_changed(is_followed);
    };
    hooks.peer_address_of = [this](const instance_id& id) { return this->circle->peer_address_of(id); };
    return std::make_unique<store_relay>(context, this->settings, this->view, std::move(hooks));
}

void gateway_engine::start()
{
    this->timer->start();
}

void gateway_engine::on_tick()
{
    const auto time = now();
    this->notice_pause(time);
    this->core.on_tick(time);
    this->run_actions();
    this->circle->on_tick(time);
    this->relay->on_tick(time);
    this->advance_leave(time);
    if (time >= this->next_gauges) {
        this->next_gauges = time + gauge_interval;
        this->share_limits();
        this->update_gauges();
    }
}

void gateway_engine::notice_pause(time_point time)
{
    const auto paused = this->pauses.observe(time, time_since_boot());
    if (paused == duration{}) {
        return;
    }
    log::event("gateway", "paused",
               {{"ms", to_milliseconds(paused)}, {"waiting", this->core.waiting_count()}});
    this->core.on_pause(time);
    this->circle->on_pause(time);
    this->relay->on_doubt(time);
    for (const auto which : store::all_collections) {
        this->callbacks.on_behind(which);
    }
}

std::vector<std::string> gateway_engine::apply(const gateway_settings& fresh)
{
    std::vector<std::string> changed;
    const auto take = [&changed](auto& current, const auto& wanted, const char* name) {
        if (current != wanted) {
            current = wanted;
            changed.emplace_back(name);
        }
    };
    take(this->settings.lookup_ttl_bound, fresh.lookup_ttl_bound, "lookup-ttl-bound");
    take(this->settings.stop_grace, fresh.stop_grace, "stop-grace");
    take(this->settings.proxy.retry_ratio, fresh.proxy.retry_ratio, "retry-ratio");
    take(this->settings.proxy.retry_burst, fresh.proxy.retry_burst, "retry-burst");
    this->core.set_retry_budget(fresh.proxy.retry_ratio, fresh.proxy.retry_burst);
    return changed;
}

void gateway_engine::update_gauges()
{
    this->metrics.set_gauge("live_instances", static_cast<double>(this->circle->live_count()));
    this->metrics.set_gauge("requests_in_progress", static_cast<double>(this->core.flow_count()));
    this->metrics.set_gauge("requests_waiting", static_cast<double>(this->core.waiting_count()));
    this->metrics.set_gauge("upstreams_known", static_cast<double>(this->core.upstreams().size()));
}

void gateway_engine::share_limits()
{
    this->core.set_instances(now(), this->circle->live_count(), this->circle->known_instances());
}

void gateway_engine::on_members_changed()
{
    this->share_limits();
    this->relay->set_members(this->circle->live_in_domain());
}

void gateway_engine::on_behind(store::collection which)
{
    if (this->relay->asks_store_when_behind()) {
        this->callbacks.on_behind(which);
    }
}

bool gateway_engine::is_serving() const
{
    return !this->leave.is_leaving() && this->circle->state() == membership::member_state::live;
}

void gateway_engine::on_store_event(const store::watcher_event& event)
{
    if (const auto* contact = std::get_if<store::contact_change>(&event)) {
        this->circle->on_store_contact(contact->which, contact->is_in_contact);
        if (!contact->is_in_contact) {
            this->relay->on_store_lost(contact->which);
            this->relay->on_view_changed(now());
        }
        log::event("view", contact->is_in_contact ? "store_in_contact" : "store_lost",
                   {{"collection", store::to_string(contact->which)}, {"detail", contact->detail}});
        return;
    }
    const auto& update = std::get<store::collection_update>(event);
    this->relay->on_store_answer(now(), update.which);
    this->on_collection(update);
}

void gateway_engine::on_collection(const store::collection_update& update)
{
    const auto time = now();
    if (!this->view.apply(time, update)) {
        return;
    }
    if (update.which == store::collection::configuration) {
        this->callers->set_limits(caller_limits_of(this->settings, this->core.routes().limits()));
    }
    if (update.which == store::collection::instances) {
        this->circle->on_registered(time, this->view.registered_instances());
        this->share_limits();
    }
    this->relay->on_view_changed(time);
    if (this->view.is_complete() && !this->leave.is_leaving()) {
        this->circle->become_live(time);
    }
    this->core.on_tick(time);
    this->run_actions();
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
    const auto addresses = this->circle->addresses_for(query->region, query->domain);
    if (addresses.empty()) {
        exchange->respond(http::text_response(status_unavailable, "no instance is ready"));
        return;
    }
    exchange->respond(this->dialect.write_lookup(addresses, this->settings.usable_lookup_ttl()));
}

bool gateway_engine::may_repeat(const http::http_request& request) const
{
    const auto* route =
        this->core.routes().find(host_of(request), std::string(http::path_of(request.target)));
    return route != nullptr && route->repeats == routing::repeat_rule::repeatable;
}

void gateway_engine::on_caller(const http::exchange_ptr& exchange)
{
    const auto time = now();
    const flow_id flow = ++this->last_flow;
    caller_terms terms;
    try {
        terms = this->dialect.read_request(exchange->request());
    } catch (const buckthornhill::error& failure) {
        exchange->respond(http::text_response(status_malformed, failure.what()));
        return;
    }
    const auto facts = facts_of(exchange->request(), terms, flow, exchange->received_at());
    gateway_flow io;
    io.exchange = exchange;
    io.request_id = std::move(terms.request_id);
    io.object = std::move(terms.object);
    io.arrived_at = exchange->received_at();
    if (const auto* route = this->core.routes().find(facts.host, facts.path)) {
        io.route = route->name;
    }
    this->flows.emplace(flow, std::move(io));
    if (!this->leave.accepts_requests(time)) {
        this->answer(flow, this->dialect.write_refusal(retry_after_leave), "refused", "leaving");
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

void gateway_engine::run_actions()
{
    for (auto actions = this->core.take_actions(); !actions.empty(); actions = this->core.take_actions()) {
        for (const auto& action : actions) {
            std::visit([this](const auto& chosen) { this->run(chosen); }, action);
        }
    }
}

void gateway_engine::run(const proxy::start_send_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found == this->flows.end()) {
        return;
    }
    auto& flow = found->second;
    const auto& received = flow.exchange->request();
    http::http_request request;
    request.method = received.method;
    request.target = received.target;
    http::copy_end_to_end(received.headers, request.headers);
    request.body = received.body;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline - now());
    this->dialect.address_to_upstream(request, std::max(left, std::chrono::milliseconds(1)), action.upstream);
    http::call_options terms;
    terms.deadline = action.deadline;
    terms.choice =
        action.needs_proven_connection ? http::connection_choice::recent : http::connection_choice::reuse;
    terms.accepts_unframed_body = true;
    terms.is_expected = [this, id = flow.request_id](const http::http_response& response) {
        const auto answered = this->dialect.read_response(response).request_id;
        return answered.empty() || answered == id;
    };
    flow.upstream = action.upstream;
    flow.send = action.send;
    flow.call =
        this->upstreams->send(http::parse_endpoint(action.address), std::move(request), std::move(terms),
                              [this, id = action.flow, send = action.send](http::call_result result) {
                                  this->on_upstream_result(id, send, std::move(result));
                              });
}

void gateway_engine::on_upstream_result(flow_id id, std::uint64_t send, http::call_result result)
{
    const auto found = this->flows.find(id);
    const bool is_current = found != this->flows.end() && found->second.send == send;
    const auto terms = result.status == http::call_status::complete
                           ? this->dialect.read_response(result.response)
                           : upstream_terms{};
    const auto outcome = outcome_of(result, terms);
    if (is_current && outcome.status != proxy::send_status::complete) {
        log_failed_send(found->second, send, result.detail);
    }
    if (is_current) {
        found->second.response = std::move(result.response);
    }
    this->core.on_send_outcome(now(), id, send, outcome);
    this->run_actions();
}

void gateway_engine::run(const proxy::cancel_send_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found != this->flows.end() && found->second.send == action.send) {
        this->upstreams->cancel(found->second.call);
        log_answer(found->second, this->facts_of_end(found->second, "cancelled", "the caller left", 0));
        this->flows.erase(found);
    }
}

void gateway_engine::run(const proxy::deliver_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found == this->flows.end()) {
        return;
    }
    auto& kept = found->second.response;
    http::http_response response;
    response.status = kept.status;
    http::copy_end_to_end(kept.headers, response.headers);
    response.body = std::move(kept.body);
    this->answer(action.flow, std::move(response), "answered", {});
}

void gateway_engine::run(const proxy::refuse_action& action)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(action.retry_after);
    this->answer(action.flow, this->dialect.write_refusal(wait), "refused",
                 std::string(proxy::to_string(action.reason)));
}

void gateway_engine::run(const proxy::no_route_action& action)
{
    this->answer(action.flow, http::text_response(status_no_route, "no route matches"), "no_route", {});
}

void gateway_engine::run(const proxy::fail_action& action)
{
    const auto status = action.is_timeout ? status_gateway_timeout : status_bad_gateway;
    this->answer(action.flow, http::text_response(status, "the upstream did not answer"),
                 action.is_timeout ? "timed_out" : "failed", "the request may have run");
}

void gateway_engine::answer(flow_id id, http::http_response response, const std::string& outcome,
                            const std::string& reason)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end()) {
        return;
    }
    const auto flow = std::move(found->second);
    this->flows.erase(found);
    const auto facts = this->facts_of_end(flow, outcome, reason, response.status);
    log_answer(flow, facts);
    this->metrics.on_answer(flow.route, outcome, facts.took);
    flow.exchange->respond(std::move(response));
}

answer_facts gateway_engine::facts_of_end(const gateway_flow& flow, const std::string& outcome,
                                          const std::string& reason, unsigned status) const
{
    return {outcome,
            reason,
            status,
            now() - flow.arrived_at,
            this->core.routes().version(),
            this->view.mirror(store::collection::upstreams).at()};
}

void gateway_engine::begin_leave()
{
    if (this->leave.is_leaving()) {
        return;
    }
    const auto time = now();
    this->leave.begin(time, {this->settings.usable_lookup_ttl() * longest_cache, this->settings.stop_grace});
    this->callers->announce_close();
    this->circle->begin_leave(time);
    this->relay->begin_leave(time);
    log::event(log_part, "leaving", {{"in_progress", this->flows.size()}});
}

void gateway_engine::advance_leave(time_point time)
{
    if (this->leave.is_over(time, !this->flows.empty() || !this->callers->is_idle())) {
        this->timer->stop();
        this->callers->stop_accepting();
        this->callbacks.on_stopped();
    }
}

std::string gateway_engine::status() const
{
    boost::json::object report{{"instance", this->self().id.str()},
                               {"serving", this->is_serving()},
                               {"live_instances", this->circle->live_count()},
                               {"watches_store", this->relay->watches_store()},
                               {"configuration", this->core.routes().version().value()},
                               {"upstreams", this->core.upstreams().size()},
                               {"requests_in_progress", this->flows.size()},
                               {"requests_waiting", this->core.waiting_count()}};
    boost::json::object versions;
    for (const auto& [which, version] : this->view.changed_at()) {
        versions[store::to_string(which)] = version.value();
    }
    report["store_versions"] = std::move(versions);
    return boost::json::serialize(report);
}
} // namespace buckthornhill::gateway
