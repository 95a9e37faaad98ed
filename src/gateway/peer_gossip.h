#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "gateway/fleet_view.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_message_codec.h"
#include "gateway/store_lag.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/member_table.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Heartbeats with the other entry instances: which of them run, and who knows more of the store.
class peer_gossip
{
public:
    struct hooks
    {
        //! A peer sent the whole of a collection of which it knew more.
        std::function<void(const store::collection_update&)> on_collection;
        //! A peer knows more of this collection although the store was heard of here.
        std::function<void(store::collection)> on_peer_ahead;
        std::function<void()> on_members_changed;
        //! A peer's call that is not about members; returns whether it is one that another part answers.
        std::function<bool(const http::exchange_ptr&)> on_unhandled_request;
    };

    peer_gossip(boost::asio::io_context& context, const gateway_settings& settings, const fleet_view& view,
                random_hook random, hooks callbacks);
    ~peer_gossip();
    peer_gossip(const peer_gossip&) = delete;
    peer_gossip& operator=(const peer_gossip&) = delete;

    const membership::member_description& self() const { return this->members.self().description; }
    membership::member_state state() const { return this->members.self().state; }
    void on_tick(time_point now);
    void on_store_contact(store::collection which, bool is_in_contact);
    void on_registered(time_point now, const std::vector<membership::member_description>& registered);
    //! This instance can serve.
    void become_live(time_point now);
    //! This instance stops: every peer hears of it at once.
    void begin_leave(time_point now);
    //! After a pause of this process, silence of the others proves nothing.
    void on_pause(time_point now) { this->members.restart_timeouts(now); }

    std::size_t live_count() const { return this->members.live_members().size(); }
    //! This instance and all that the store's list or a peer named and that have not ended.
    std::vector<instance_id> known_instances() const;
    std::vector<instance_id> live_in_domain() const;
    //! Empty when the peer is unknown.
    std::string peer_address_of(const instance_id& id) const;
    //! Callers' addresses that a caller at `region` and `domain` should use, near ones only.
    std::vector<std::string> addresses_for(const region_id& region, const domain_id& domain) const;

private:
    void on_request(const http::exchange_ptr& exchange);
    void on_heartbeat(time_point now, const peer_heartbeat& heartbeat);
    void send_heartbeat(time_point now, const instance_id& peer);
    void send_heartbeats_in_region(time_point now);
    //! Notes of what the sender knows more than this instance.
    void record_lags(time_point now, const peer_heartbeat& heartbeat);
    //! Asks peers for what the store has not brought in time.
    void fetch_overdue(time_point now);
    void fetch_collection(const std::string& address, store::collection which);
    peer_heartbeat own_heartbeat();

    gateway_settings settings;
    const fleet_view& view;
    hooks callbacks;
    membership::member_table members;
    std::unique_ptr<http::http_client> client;
    std::unique_ptr<http::http_server> server;
    std::set<store::collection> collections_in_contact;
    std::set<store::collection> collections_being_fetched;
    store_lag lag;
    time_point next_heartbeat_round{};
};
} // namespace buckthornhill::gateway
