#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/confirmation_source.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_settings.h"
#include "gateway/update_source.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "store/collection_watcher.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Relays store changes inside a failure domain. Implements both sides: this instance follows a relay, or it
//! is the relay that others follow. Runs entirely on the request thread.
class store_relay
{
public:
    struct hooks
    {
        std::function<void(const store::collection_update&)> on_collection;
        //! The relay has confirmed all collections that it relays.
        std::function<void()> on_collections_confirmed;
        //! The relay or a follower knows this era of the store.
        std::function<void(store::store_era)> on_era;
        //! Whether this instance has to watch the store from now on.
        std::function<void(bool watches_store)> on_source_changed;
        //! Whether any instance follows this one from now on.
        std::function<void(bool is_followed)> on_followed_changed;
        std::function<std::string(const instance_id&)> peer_address_of;
        //! This instance's confirmation of the configuration, if it has one.
        std::function<std::optional<peer_confirmation>()> confirmation;
        //! The relay's confirmation; the age counts from the time since boot at which it was asked.
        std::function<void(std::chrono::nanoseconds asked_at, const peer_confirmation&)>
            on_configuration_confirmed;
    };

    store_relay(boost::asio::io_context& context, const gateway_settings& settings, const fleet_view& view,
                hooks callbacks);
    ~store_relay();
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    //! Live instances of this failure domain.
    void set_members(const std::vector<instance_id>& live);
    void on_tick(time_point now);
    //! The store itself responded for this collection.
    void on_store_response(time_point now, store::collection which);
    void on_store_lost(store::collection which);
    //! The view may have changed; responds to the followers that wait for changes.
    void on_view_changed(time_point now);
    //! See `update_source::on_pause`.
    void on_pause(time_point now);
    //! This instance stops; its followers are told to watch the store themselves.
    void begin_leave(time_point now);
    bool watches_store() const { return this->source.watches_store(); }
    bool asks_store_when_behind() const { return this->source.asks_store_when_behind(); }

    //! Whether `target` is the path of follower calls.
    static bool is_follower_call(std::string_view target);
    //! Handles the call of a follower. The response is sent when there are changes for it, or when its wait
    //! time is over.
    void on_follower_call(time_point now, const http::exchange_ptr& exchange);

private:
    struct follower
    {
        http::exchange_ptr exchange;
        //! Without collections that it does not have yet.
        std::map<store::collection, store::collection_version> known;
        time_point deadline;
        std::chrono::nanoseconds received_at{}; //!< since boot
    };

    bool has_confirmed_contact(time_point now) const;
    //! Era that all relayed collections have reached.
    store::store_era relayed_era() const;
    //! Some relayed collections are known in a later era than others, until all of them are listed.
    bool is_between_eras() const;
    bool is_outdated(const std::map<store::collection, store::collection_version>& known,
                     store::collection which) const;
    bool has_updates_for(const follower& waiting) const;
    void respond_to_followers(time_point now);
    //! The encoded response for a follower that has these versions.
    std::string updates_since(time_point now,
                              const std::map<store::collection, store::collection_version>& known) const;
    //! `response` with this instance's confirmation, whose age is that when the follower called.
    http::http_response with_confirmation(http::http_response response, const follower& waiting) const;
    void call_relay(time_point now, const instance_id& relay);
    void on_relay_result(const http::call_result& result, std::chrono::nanoseconds asked_at);
    //! Logs a change of the source and calls `on_source_changed`; `reason` says why a relay was left.
    void report_source_change(std::string_view reason);

    const fleet_view& view;
    hooks callbacks;
    update_source source;
    store::collection_watcher_configuration watcher_configuration;
    std::unique_ptr<http::http_client> client;
    std::map<store::collection, time_point> confirmed_at; //!< latest response of the store itself
    std::vector<follower> followers;
    time_point followed_until{};
    bool is_followed = false;
    bool was_watching = true;
    bool is_leaving = false;
};
} // namespace buckthornhill::gateway
