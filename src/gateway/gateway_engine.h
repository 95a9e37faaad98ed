#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "gateway/confirmation_exchange.h"
#include "gateway/crash_exchange.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_dialect.h"
#include "gateway/gateway_flow.h"
#include "gateway/gateway_settings.h"
#include "gateway/leave_sequence.h"
#include "gateway/limit_exchange.h"
#include "gateway/peer_gossip.h"
#include "gateway/plan_exchange.h"
#include "gateway/quarantine_archive.h"
#include "gateway/request_log.h"
#include "gateway/store_relay.h"
#include "gateway/upstream_end_detector.h"
#include "gateway/witness_search.h"
#include "global/pause_detector.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "proxy/proxy_core.h"
#include "store/collection_watcher.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill {
class periodic_timer;
}

namespace buckthornhill::gateway {
class gateway_metrics;

//! Request handling: the servers for callers, look-ups, readiness checks and peers, and the calls to
//! upstreams, connected through the proxy core, which makes the decisions. Runs entirely on the thread of the
//! I/O context.
class gateway_engine
{
public:
    struct hooks
    {
        //! This collection may be out of date: a peer has a newer version, or this process was paused.
        std::function<void(store::collection)> on_refresh_needed;
        //! The store is to confirm now that this collection is up to date.
        std::function<void(store::collection)> on_check_needed;
        //! Watch the store from now on, starting after these versions, or stop watching it when empty.
        std::function<void(const std::optional<std::map<store::collection, store::collection_version>>&)>
            on_store_watch_changed;
        //! A peer, or a call outside the watcher, saw this era of the store.
        std::function<void(store::store_era)> on_era;
        //! Whether other instances receive store changes through this one.
        std::function<void(bool)> on_followed_changed;
        std::function<void()> on_stopped;
    };

    gateway_engine(boost::asio::io_context& context, const gateway_settings& settings,
                   const gateway_dialect& dialect, gateway_metrics& metrics, const random_hook& random,
                   hooks callbacks);
    ~gateway_engine();
    gateway_engine(const gateway_engine&) = delete;
    gateway_engine& operator=(const gateway_engine&) = delete;

    void start();
    void on_store_event(const store::watcher_event& event);
    //! Applies the settings that may change at run time; returns the names of those that changed.
    std::vector<std::string> apply(const gateway_settings& new_settings);
    //! Starts a planned stop: callers are directed to other instances, requests in progress complete.
    void begin_leave();
    const membership::member_description& self() const { return this->peers->self(); }
    //! State for operators, as JSON.
    std::string status() const;

private:
    //! Whether the request may run concurrently with others on its connection: its route allows repeats.
    bool is_repeatable(const http::http_request& request) const;
    void on_caller(const http::exchange_ptr& exchange);
    //! Completes the response to a request that the listener for callers rejects itself.
    void on_caller_rejected(http::http_response& response);
    void on_lookup(const http::exchange_ptr& exchange);
    void on_readiness(const http::exchange_ptr& exchange);
    void on_upstream_result(flow_id flow, std::uint64_t attempt, http::call_result result);
    void on_upstream_checked(const upstream_run& run, bool has_ended, const std::string& evidence);
    void on_collection(const store::collection_update& update);
    //! Passes on the limits of the configuration in force.
    void on_configuration_applied(time_point now);
    void on_upstream_contact(const store::contact_change& contact);
    void on_confirmed(store::collection which);
    //! Tells the watcher and the archive if the era is later than those known.
    void on_era(store::store_era latest);
    void on_era_changed(store::store_era latest);
    void on_tick();
    void update_gauges();
    void update_plan_gauges();
    void update_shared_limits();
    void on_members_changed();
    void on_peer_ahead(store::collection which);
    std::unique_ptr<store_relay> make_relay(boost::asio::io_context& context);
    std::unique_ptr<quarantine_archive> make_archive(boost::asio::io_context& context,
                                                     const random_hook& random);
    std::unique_ptr<peer_gossip> make_gossip(boost::asio::io_context& context, const random_hook& random);
    std::unique_ptr<confirmation_exchange> make_confirmations(boost::asio::io_context& context,
                                                              const random_hook& random);
    //! `update` has been applied.
    void on_store_confirmation(const store::collection_update& update);
    void on_relay_confirmation(std::chrono::nanoseconds asked_at, const peer_confirmation& confirmation);
    bool is_confirmed() const;
    //! The configuration has been received. Begins a search for witnesses if it is the first of its era.
    void begin_witness_search(time_point now);
    void search_witnesses(time_point now);
    void conclude_witness_search(time_point now);
    //! Asks for confirmations and logs when they cease and return.
    void check_confirmation(time_point now);
    void update_confirmation_gauge();
    std::unique_ptr<limit_exchange> make_limits(boost::asio::io_context& context);
    void check_for_pause(time_point now);
    void advance_leave(time_point now);
    bool is_serving() const;

    void run_actions();
    void run(const proxy::start_attempt_action& action);
    void run(const proxy::cancel_attempt_action& action);
    void run(const proxy::deliver_action& action);
    void run(const proxy::refuse_action& action);
    void run(const proxy::reject_action& action);
    void run(const proxy::no_route_action& action);
    void run(const proxy::fail_action& action);
    void run(const proxy::signal_changed_action& action);
    void run(const proxy::request_permission_action& action);
    void run(const proxy::report_crashes_action& action);
    void run(const proxy::clear_suspect_action& action);
    void run(const proxy::end_trial_action& action);
    void run(const proxy::request_tokens_action& action);
    void run(const proxy::cancel_tokens_action& action);
    void run(const proxy::return_token_action& action);
    void run(const proxy::capacity_changed_action& action);
    request_completion completion_of(const gateway_flow& flow, const std::string& outcome,
                                     const std::string& reason, unsigned status) const;
    void respond(flow_id flow, http::http_response response, const std::string& outcome,
                 const std::string& reason);

    gateway_settings settings;
    const gateway_dialect& dialect;
    gateway_metrics& metrics;
    hooks callbacks;
    proxy::proxy_core core;
    fleet_view view;
    std::unique_ptr<periodic_timer> timer;
    http::memory_budget_ptr memory; //!< for bodies; null when the settings do not bound them
    std::unique_ptr<http::http_client> upstream_client;
    upstream_end_detector end_detector;
    std::unique_ptr<peer_gossip> peers;
    std::unique_ptr<store_relay> relay;
    std::unique_ptr<crash_exchange> crashes;
    std::unique_ptr<quarantine_archive> archive;
    std::unique_ptr<confirmation_exchange> confirmations;
    std::unique_ptr<limit_exchange> limits;
    std::unique_ptr<plan_exchange> plans; //!< null unless the settings ask for a plan of the objects
    std::unique_ptr<http::http_server> caller_server;
    std::unique_ptr<http::http_server> lookup_server;
    std::unique_ptr<http::http_server> readiness_server;
    std::unordered_map<flow_id, gateway_flow> flows;
    flow_id last_flow;
    time_point next_gauge_update{};
    time_point next_capacity_gauge_update{};
    bool has_lost_sight = false;       //!< instances that were known lately are silent
    std::optional<bool> was_confirmed; //!< the configuration, when it was checked last
    witness_search witnesses;
    std::optional<store::store_era> searched_era; //!< of the latest search for witnesses
    bool has_refreshed_instances = false;         //!< in this search
    //! The store's latest answer about the configuration, without the changes. It counts as a confirmation
    //! once witnesses have been heard.
    store::collection_update latest_configuration_answer;
    pause_detector pause_monitor;
    leave_sequence leave;
};
} // namespace buckthornhill::gateway
