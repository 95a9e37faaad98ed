//! The gateway's part in attempts and responses: carries out the actions of the proxy core.
#include <algorithm>

#include <boost/json.hpp>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_translation.h"
#include "global/log.h"
#include "http/hop_headers.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
namespace {
constexpr unsigned status_no_route = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;

time_point now()
{
    return std::chrono::steady_clock::now();
}

http::connection_choice connection_for(const gateway_flow& flow, const http::endpoint& address,
                                       bool needs_recent_connection)
{
    //! NOTE A late copy of the response to an earlier attempt bears the same id, so only the connection tells
    //! it from the response to this one.
    if (std::ranges::find(flow.addresses, address) != flow.addresses.end()) {
        return http::connection_choice::fresh;
    }
    return needs_recent_connection ? http::connection_choice::recent : http::connection_choice::reuse;
}
} // namespace

void gateway_engine::run_actions()
{
    for (auto actions = this->core.take_actions(); !actions.empty(); actions = this->core.take_actions()) {
        for (const auto& action : actions) {
            std::visit([this](const auto& chosen) { this->run(chosen); }, action);
        }
    }
}

void gateway_engine::run(const proxy::start_attempt_action& action)
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
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline - now());
    this->dialect.write_upstream_headers(
        request, {std::max(left, std::chrono::milliseconds(1)), action.upstream, action.account});
    http::call_options terms;
    terms.deadline = action.deadline;
    terms.body = flow.body;
    terms.choice = connection_for(flow, http::parse_endpoint(action.address), action.needs_recent_connection);
    terms.accepts_unframed_body = true;
    terms.is_expected = [this, id = flow.request_id](const http::http_response& response) {
        return is_response_to(id, this->dialect.read_response(response));
    };
    if (action.attempt > 1) {
        log_further_attempt(flow, action);
    }
    flow.account = action.account.value_or(account_id());
    flow.upstream = action.upstream;
    flow.run = action.run;
    flow.upstream_address = http::parse_endpoint(action.address);
    flow.addresses.push_back(flow.upstream_address);
    flow.attempt = action.attempt;
    flow.call = this->upstream_client->send(
        flow.upstream_address, std::move(request), std::move(terms),
        [this, id = action.flow, attempt = action.attempt](http::call_result result) {
            this->on_upstream_result(id, attempt, std::move(result));
        });
}

void gateway_engine::on_upstream_result(flow_id id, std::uint64_t attempt, http::call_result result)
{
    const auto found = this->flows.find(id);
    const bool is_current = found != this->flows.end() && found->second.attempt == attempt;
    const auto metadata = result.status == http::call_status::complete
                              ? this->dialect.read_response(result.response)
                              : response_metadata{};
    const auto outcome = outcome_of(result, metadata);
    if (is_current && outcome.status != proxy::transport_status::complete) {
        const bool is_withheld = result.status == http::call_status::complete;
        log_failed_attempt(found->second, attempt,
                           is_withheld ? "the response must not be forwarded, status " +
                                             std::to_string(result.response.status)
                                       : result.detail);
    }
    if (is_current && result.status == http::call_status::broken) {
        this->end_detector.on_connection_lost(now(), found->second.run, found->second.upstream_address);
    }
    if (is_current && outcome.is_misdirected) {
        this->end_detector.on_misdirected(found->second.run);
    }
    if (is_current) {
        found->second.response = std::move(result.response);
    }
    this->core.on_attempt_outcome(now(), id, attempt, outcome);
    this->run_actions();
}

void gateway_engine::on_upstream_checked(const upstream_run& run, bool has_ended, const std::string& evidence)
{
    if (has_ended) {
        log::event("upstreams", "ended", {{"run", run.str()}, {"evidence", evidence}});
    }
    this->metrics.on_connection_lost(has_ended);
    this->core.on_upstream_checked(now(), run, has_ended);
    this->run_actions();
}

void gateway_engine::run(const proxy::request_permission_action& action)
{
    this->crashes->ask_permission(now(), action.request_fingerprint, [this, action](bool is_granted) {
        this->core.on_permission(now(), action.flow, action.request_fingerprint, is_granted);
        this->run_actions();
    });
}

void gateway_engine::run(const proxy::report_crashes_action& action)
{
    boost::json::array prints;
    for (const auto& note : action.notes) {
        prints.emplace_back(note.request_fingerprint.str());
    }
    log::event("quarantine", "crash", {{"run", action.run.str()}, {"fingerprints", std::move(prints)}});
    this->crashes->announce_quarantines();
    this->archive->on_crash(now());
    this->crashes->report(action.notes, [this, run = action.run] {
        this->core.on_crashes_reported(now(), run);
        this->run_actions();
    });
}

void gateway_engine::run(const proxy::clear_suspect_action& action)
{
    this->crashes->clear(action.known);
}

void gateway_engine::run(const proxy::end_trial_action& action)
{
    this->crashes->end_trial(action.request_fingerprint);
}

void gateway_engine::run(const proxy::request_tokens_action& action)
{
    this->limits->acquire(now(), action.account, action.flow);
}

void gateway_engine::run(const proxy::cancel_tokens_action& action)
{
    this->limits->cancel(action.account, action.flow);
}

void gateway_engine::run(const proxy::return_token_action& action)
{
    this->limits->give_back(now(), action.token.account, action.token.token);
}

void gateway_engine::run(const proxy::cancel_attempt_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found != this->flows.end() && found->second.attempt == action.attempt) {
        this->upstream_client->cancel(found->second.call);
        log_completion(found->second,
                       this->completion_of(found->second, "cancelled", "the caller disconnected", 0));
        this->flows.erase(found);
    }
}

void gateway_engine::run(const proxy::deliver_action& action)
{
    const auto found = this->flows.find(action.flow);
    if (found == this->flows.end()) {
        return;
    }
    auto& upstream_response = found->second.response;
    http::http_response response;
    response.status = upstream_response.status;
    http::copy_end_to_end(upstream_response.headers, response.headers);
    response.body = std::move(upstream_response.body);
    response.memory = std::move(upstream_response.memory);
    this->respond(action.flow, std::move(response), "answered", {});
}

void gateway_engine::run(const proxy::refuse_action& action)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(action.retry_after);
    const auto kind = action.reason == proxy::refusal_reason::over_limit ? refusal_kind::over_limit
                                                                         : refusal_kind::unavailable;
    const std::string reason(proxy::to_string(action.reason));
    this->metrics.on_refused(reason);
    this->respond(action.flow, this->dialect.write_refusal(wait, kind), "refused", reason);
}

void gateway_engine::run(const proxy::no_route_action& action)
{
    this->respond(action.flow, http::text_response(status_no_route, "no route matches"), "no_route", {});
}

void gateway_engine::run(const proxy::fail_action& action)
{
    const auto status = action.is_timeout ? status_gateway_timeout : status_bad_gateway;
    this->respond(action.flow, http::text_response(status, "the upstream did not answer"),
                  action.is_timeout ? "timed_out" : "failed", "the request may have run");
}

void gateway_engine::run(const proxy::signal_changed_action& action)
{
    boost::json::object facts{{"upstream", action.upstream.str()}};
    if (action.signals.requests_per_second) {
        facts["requests_per_second"] = *action.signals.requests_per_second;
    }
    if (action.signals.pause) {
        facts["pause_ms"] = action.signals.pause->count();
    }
    const std::string change(proxy::to_string(action.change));
    log::event("upstreams", change, std::move(facts));
    this->metrics.on_upstream_signal(change);
}

void gateway_engine::run(const proxy::capacity_changed_action& action)
{
    const auto& known = action.learned.capacity;
    log::event("upstreams", "capacity_learned",
               {{"upstream", action.learned.upstream.str()},
                {"limit", known.limit},
                {"speed", known.speed},
                {"evidence", known.evidence}});
}

void gateway_engine::respond(flow_id id, http::http_response response, const std::string& outcome,
                             const std::string& reason)
{
    const auto found = this->flows.find(id);
    if (found == this->flows.end()) {
        return;
    }
    const auto flow = std::move(found->second);
    this->flows.erase(found);
    const auto completion = this->completion_of(flow, outcome, reason, response.status);
    log_completion(flow, completion);
    this->metrics.on_response(flow.route, outcome, completion.elapsed);
    flow.exchange->respond(std::move(response));
}

request_completion gateway_engine::completion_of(const gateway_flow& flow, const std::string& outcome,
                                                 const std::string& reason, unsigned status) const
{
    return {outcome,
            reason,
            status,
            now() - flow.arrived_at,
            this->core.routes().version(),
            this->view.mirror(store::collection::upstreams).version().revision};
}
} // namespace buckthornhill::gateway
