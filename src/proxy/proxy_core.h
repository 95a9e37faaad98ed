#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "accounts/configuration_freshness.h"
#include "accounts/unknown_keys.h"
#include "fleet/upstream_roster.h"
#include "placement/upstream_picker.h"
#include "proxy/proxy_flow.h"
#include "proxy/retry_limiter.h"
#include "proxy/service_rotation.h"
#include "proxy/waiting_requests.h"
#include "quarantine/crash_watch.h"
#include "rate_limits/limit_borrower.h"
#include "routing/route_table.h"

namespace buckthornhill::proxy {
//! Makes all decisions of one entry instance about callers' requests.
class proxy_core
{
public:
    proxy_core(instance_id self, place where, const proxy_configuration& configuration, random_hook random);
    proxy_core(const proxy_core&) = delete;
    proxy_core& operator=(const proxy_core&) = delete;

    void on_request(time_point now, const request_facts& facts);
    void on_attempt_outcome(time_point now, flow_id flow, std::uint64_t attempt,
                            const attempt_outcome& outcome);
    //! To be called when it is known whether the upstream of a lost connection has ended.
    void on_upstream_checked(time_point now, const upstream_run& run, bool has_ended);
    //! The other instances know of the end of this upstream, and this one knows what they do.
    void on_crashes_reported(time_point now, const upstream_run& run);
    void on_permission(time_point now, flow_id flow, fingerprint request_fingerprint, bool is_granted);
    //! Answer to `request_tokens_action`.
    void on_tokens(time_point now, flow_id flow, const account_id& account,
                   const rate_limits::token_outcome& outcome);
    void on_cancelled(time_point now, flow_id flow);
    void on_tick(time_point now);
    //! The process was suspended: refuses the waiting requests, since their callers may have left long ago.
    void on_pause(time_point now);
    //! Limits that hold for all instances together are divided among them: the retry budget by the number of
    //! instances that are `live`, this one included, or were known lately, and the rate to cold upstreams
    //! among the `known` instances, live or not.
    void set_instances(time_point now, std::size_t live, const std::vector<placement::known_instance>& known);

    //! Time since boot, suspension included. Without it no configuration counts as confirmed.
    void set_boot_clock(std::function<std::chrono::nanoseconds()> clock)
    {
        this->boot_clock = std::move(clock);
    }
    accounts::configuration_freshness& freshness() { return this->confirmations; }
    const accounts::configuration_freshness& freshness() const { return this->confirmations; }

    void set_retry_budget(double ratio, double burst);
    //! Returns whether the configuration is newer than the one in force.
    bool on_configuration(routing::routing_configuration configuration);
    fleet::upstream_roster& upstreams() { return this->roster; }
    const fleet::upstream_roster& upstreams() const { return this->roster; }
    placement::upstream_picker& placement() { return this->picker; }
    quarantine::crash_watch& suspects() { return this->crashes; }
    const quarantine::crash_watch& suspects() const { return this->crashes; }
    const routing::route_table& routes() const { return this->table; }

    std::vector<action> take_actions() { return std::exchange(this->outbox, {}); }
    //! Retries since the start of the process, for operators.
    struct retry_counts
    {
        std::uint64_t spent = 0;
        std::uint64_t denied = 0; //!< for want of budget
    };
    const retry_counts& retry_totals() const { return this->retries; }
    //! Number of instances among which the retry budget is divided.
    std::size_t retry_budget_instances() const { return this->budget_instances; }
    std::vector<placement::upstream_estimate> learned_capacities(time_point now) const
    {
        return this->picker.learned_capacities(now);
    }
    std::size_t flow_count() const { return this->flows.size(); }
    std::size_t waiting_count() const { return this->waiting.size(); }
    //! State of a request that is being served, for the log; null when there is none.
    const proxy_flow* find(flow_id flow) const;

private:
    //! Whether an upstream has ended whose connection was lost.
    enum class upstream_verdict { unknown, running, ended };

    enum class binding { bound, no_route, unknown_key, no_common_region };

    //! Binds the request to route and account of the configuration in force.
    binding bind_route(proxy_flow& flow);
    binding bind_account(proxy_flow& flow, const routing::route& route);
    //! The same; ends the request or holds it when it cannot be bound, and returns whether it is.
    bool bind(time_point now, proxy_flow& flow);
    //! Whether the request may be sent at this moment: by a binding to the configuration in force that is
    //! confirmed if it has to be. Otherwise ends the request or holds it.
    bool is_authorized(time_point now, proxy_flow& flow);
    //! Whether the configuration is confirmed, or need not be for this request.
    bool is_confirmed_for(const proxy_flow& flow) const;
    bool is_confirmed() const;
    //! Rejects the request, or holds it until that is certain.
    void check_unknown_key(time_point now, proxy_flow& flow);
    //! Continues or ends a request that was held because of its key.
    void check_key_again(time_point now, flow_id flow);
    void reject(time_point now, const proxy_flow& flow, reject_reason reason);
    std::optional<account_id> account_for_upstream(const proxy_flow& flow) const;
    static waiting_rank rank_of(const proxy_flow& flow)
    {
        return {flow.account_priority, flow.route_priority, flow.arrived_at};
    }
    //! Binds the request to the route of the configuration in force. Returns whether it may be sent by it,
    //! and ends the request if not.
    bool rebind(time_point now, proxy_flow& flow);
    //! Whether the configuration in force lets a request that may have run be sent once more.
    bool may_send_again(time_point now, proxy_flow& flow);
    //! Sends the request, queues it or refuses it.
    void dispatch(time_point now, proxy_flow& flow);
    void send(time_point now, proxy_flow& flow);
    void dispatch_waiting(time_point now);
    void on_not_run(time_point now, proxy_flow& flow, const attempt_outcome& outcome);
    void on_may_have_run(time_point now, proxy_flow& flow, const attempt_outcome& outcome);
    //! Sends a request that may have run to another upstream if that is allowed and useful, or ends it.
    void send_again(time_point now, proxy_flow& flow);
    //! Delivers the response of the latest attempt, or fails the request when it has none.
    void end_after_attempt(const proxy_flow& flow);
    //! Whether the request has a valid token or needs none. Otherwise asks for one and holds the request.
    bool has_token(time_point now, proxy_flow& flow);
    void return_token(proxy_flow& flow);
    //! Tokens expire by a clock that may not count a suspension.
    void drop_tokens();
    //! Returns whether the request is held until `on_upstream_checked` or `on_crashes_reported`.
    bool hold_for_verdict(time_point now, proxy_flow& flow);
    //! Sends a request that was held again, or gives it up.
    void release_held(time_point now, flow_id flow, upstream_verdict verdict);
    void release_held_at(time_point now, const upstream_run& run, upstream_verdict verdict);
    //! Refuses a quarantined request and asks for permission for a suspect; returns whether it may be sent.
    bool is_admitted(time_point now, proxy_flow& flow);
    void on_request_completed(time_point now, const proxy_flow& flow);
    void check_held(time_point now);
    void apply_signals(time_point now, const upstream_id& upstream,
                       const placement::upstream_signals& signals);
    //! Returns whether the request may be sent to another upstream, and then counts a retry.
    bool try_spend_retry(time_point now, const proxy_flow& flow);
    void refuse(time_point now, const proxy_flow& flow, refusal_reason reason);
    void fail(const proxy_flow& flow, bool is_timeout);
    void finish(flow_id flow);
    duration retry_after(time_point now, const proxy_flow& flow, refusal_reason reason);

    proxy_configuration configuration;
    random_hook random;
    routing::route_table table;
    fleet::upstream_roster roster;
    placement::upstream_picker picker;
    service_rotation rotation;
    waiting_requests waiting;
    quarantine::crash_watch crashes;
    accounts::configuration_freshness confirmations;
    accounts::unknown_keys unknown_keys;
    std::function<std::chrono::nanoseconds()> boot_clock;
    std::set<flow_id> held; //!< requests that wait for a verdict, a permission, tokens or a confirmation
    std::unordered_map<flow_id, proxy_flow> flows;
    std::map<service_id, retry_limiter> retry_limiters;
    std::size_t budget_instances = 1; //!< among which the retry budget is divided
    retry_counts retries;
    std::optional<time_point> started_at;
    std::vector<action> outbox;
};
} // namespace buckthornhill::proxy
