#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "burn/burn_recorder.h"
#include "daemon/daemon_configuration.h"
#include "global/units.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "node/entry_node.h"
#include "store/store_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill {
class periodic_timer;
}

namespace buckthornhill::daemon {
class request_metrics;

//! Serves callers and peers over HTTP and carries out what `entry_node` decides: requests to upstreams and
//! peers, and responses. Everything here runs on one thread, that of `context`.
class request_engine
{
public:
    request_engine(boost::asio::io_context& context, const daemon_configuration& configuration,
                   request_metrics& metrics, random_hook random, std::function<void()> on_stopped);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;

    const membership::member_description& self() const { return this->configuration.self; }
    void start();
    void on_store_event(const store::store_event& event);
    void begin_leave();
    //! The state of this instance for operators, as JSON.
    std::string status();

private:
    struct flow_context
    {
        http::exchange_ptr exchange;
        time_point started_at;
        bool is_from_peer = false;
        std::uint64_t attempt = 0;
        http::call_id call;
        service_id service;
        customer_id customer;
    };

    void on_caller_exchange(const http::exchange_ptr& exchange);
    void on_peer_exchange(const http::exchange_ptr& exchange);
    void on_peer_message(const http::exchange_ptr& exchange, std::string_view path);
    void start_flow(const http::exchange_ptr& exchange, bool is_from_peer);
    void on_lookup(const http::exchange_ptr& exchange);
    bool has_valid_peer_key(const http::http_request& request) const;

    void run_actions();
    void run(const node::start_upstream_action& action);
    void run(const node::start_peer_action& action);
    void run(const node::cancel_action& action);
    void run(const node::response_action& action);
    void run(const node::heartbeat_action& action);
    void run(const node::fetch_document_action& action);
    void run(const node::probe_action& action);
    void run(const node::handover_action& action);
    void record_response(const flow_context& flow, const node::response_action& action);
    void on_tick();
    void update_gauges();
    void register_seed_peers();
    void report_unreadable_instances(lists::document_name name) const;
    http::http_request make_peer_message(std::string_view path, std::string body) const;

    daemon_configuration configuration;
    request_metrics& metrics;
    random_hook random;
    std::function<void()> on_stopped;
    burn::burn_recorder burn;
    std::unique_ptr<periodic_timer> timer;
    std::unique_ptr<http::http_client> client;
    std::unique_ptr<http::http_server> caller_server;
    std::unique_ptr<http::http_server> peer_server;
    std::unique_ptr<node::entry_node> node;
    std::unordered_map<flow_id, flow_context> flows;
    flow_id last_flow;
    std::uint64_t ticks = 0;
};
} // namespace buckthornhill::daemon
