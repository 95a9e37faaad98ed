#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "gateway/fleet_view.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_message_codec.h"
#include "gateway/store_lag.h"
#include "gateway/witness_search.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/member_table.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Exchanges heartbeats with the other entry instances. They show which instances run and whose view of the
//! store is newer; collections that the store does not deliver in time are fetched from a peer.
class peer_gossip
{
public:
    struct hooks
    {
        //! A peer that was ahead sent the changes of a collection, or all of it.
        std::function<void(const store::collection_update&)> on_collection;
        //! A peer sent the configuration that it has in force.
        std::function<void(const store::collection_update&)> on_configuration;
        //! A peer has a newer version of this collection although this instance has contact with the store.
        std::function<void(store::collection)> on_peer_ahead;
        std::function<void()> on_members_changed;
        //! Whether all instances, and not only those of this region, must know at once that this one serves
        //! or leaves.
        std::function<bool()> informs_all;
        //! Called for each heartbeat, before its versions are compared with those of the view.
        std::function<void(const peer_heartbeat&)> on_store_state;
        //! Whether the confirmation of the configuration in force is valid.
        std::function<bool()> is_confirmed;
        //! Requests that are quarantined, for heartbeats.
        std::function<std::vector<quarantine::suspect_report>()> quarantined;
        std::function<void(const std::vector<quarantine::suspect_report>&)> on_quarantined;
        //! Passes on a request that is not handled here; returns whether the receiver responds to it.
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
    //! To be called once this instance can serve.
    void become_live(time_point now);
    //! This instance stops; it informs the peers of its region immediately.
    void begin_leave(time_point now);
    //! Restarts the timeouts: silence of the others during a pause of this process does not mean that they
    //! failed.
    void on_pause(time_point now) { this->members.restart_timeouts(now); }

    //! Sends a heartbeat to a known instance. `on_end` reports how that ended, after the hooks have been
    //! called for the response.
    void send_heartbeat(time_point now, const instance_id& peer,
                        std::function<void(witness_search::result)> on_end = {});
    //! All other instances that are known, with the addresses of seeds; those that run first, each part in
    //! random order.
    std::vector<instance_id> candidates();
    //! Fetches from a peer what it has newer of a collection, unless that is under way.
    void fetch_collection(const std::string& address, store::collection which);

    std::size_t live_count() const { return this->members.live_members().size(); }
    std::vector<membership::member_description> live_members() const { return this->members.live_members(); }
    //! This instance and all others that the store's list or a peer named, those that are gone included.
    std::vector<placement::known_instance> known_instances(time_point now) const;
    std::vector<instance_id> live_in_domain() const;
    //! Instances that have announced their end.
    std::set<instance_id> departed() const;
    //! Empty when the peer is unknown.
    std::string peer_address_of(const instance_id& id) const;
    //! Addresses that a caller in `region` and `domain` should use: those of its failure domain, else those
    //! of its region, else those of this instance's region.
    std::vector<std::string> addresses_for(const region_id& region, const domain_id& domain) const;

private:
    void on_request(const http::exchange_ptr& exchange);
    void on_heartbeat(time_point now, const peer_heartbeat& heartbeat);
    void on_heartbeat_response(const http::http_response& response);
    //! To the region, or to all instances if these must know at once.
    void send_heartbeats_at_once(time_point now);
    //! Records the collections of which the sender has a newer version.
    void record_lags(time_point now, const peer_heartbeat& heartbeat);
    //! Fetches from peers what the store has not delivered in time.
    void fetch_overdue(time_point now);
    //! Fetches the configuration in force at the peer, which a restored store may lack.
    void fetch_configuration(const std::string& address);
    void fetch(const std::string& address, const std::string& query, std::function<void()> on_end,
               std::function<void(const store::collection_update&)> on_update);
    peer_heartbeat own_heartbeat();

    gateway_settings settings;
    const fleet_view& view;
    hooks callbacks;
    random_hook random;
    membership::member_table members;
    std::unique_ptr<http::http_client> client;
    std::unique_ptr<http::http_server> server;
    std::set<store::collection> collections_in_contact;
    std::set<store::collection> collections_being_fetched;
    bool is_fetching_configuration = false;
    store_lag lag;
    time_point next_heartbeat_round{};
};
} // namespace buckthornhill::gateway
