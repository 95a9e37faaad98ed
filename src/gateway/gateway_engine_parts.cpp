//! Connects the parts of the gateway that exchange messages with other instances.
#include <boost/asio/io_context.hpp>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"

namespace buckthornhill::gateway {
namespace {
time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

std::unique_ptr<store_relay> gateway_engine::make_relay(boost::asio::io_context& context)
{
    store_relay::hooks hooks;
    hooks.on_collection = [this](const store::collection_update& update) { this->on_collection(update); };
    hooks.on_collections_confirmed = [this] {
        for (const auto which : store::all_collections) {
            if (which != store::collection::instances) {
                this->on_confirmed(which);
            }
        }
    };
    hooks.on_era = [this](store::store_era latest) { this->on_era(latest); };
    hooks.on_source_changed = [this](bool watches_store) {
        std::optional<std::map<store::collection, store::collection_version>> known;
        if (watches_store) {
            known = this->view.known_versions();
        } else {
            //! NOTE The relay is in contact with the store.
            this->core.upstreams().on_store_contact({});
        }
        this->callbacks.on_store_watch_changed(known);
    };
    hooks.on_followed_changed = [this](bool is_followed) {
        this->callbacks.on_followed_changed(is_followed);
    };
    hooks.peer_address_of = [this](const instance_id& id) { return this->peers->peer_address_of(id); };
    hooks.confirmation = [this] { return this->view.own_confirmation(time_since_boot()); };
    hooks.on_configuration_confirmed = [this](std::chrono::nanoseconds asked_at,
                                              const peer_confirmation& confirmation) {
        this->on_relay_confirmation(asked_at, confirmation);
    };
    return std::make_unique<store_relay>(context, this->settings, this->view, std::move(hooks));
}

std::unique_ptr<peer_gossip> gateway_engine::make_gossip(boost::asio::io_context& context,
                                                         const random_hook& random)
{
    peer_gossip::hooks hooks;
    hooks.on_collection = [this](const store::collection_update& update) { this->on_collection(update); };
    hooks.on_configuration = [this](const store::collection_update& update) {
        this->view.take_configuration(update);
        this->on_configuration_applied(now());
        this->core.on_tick(now());
        this->run_actions();
    };
    hooks.on_peer_ahead = [this](store::collection which) { this->on_peer_ahead(which); };
    hooks.on_members_changed = [this] { this->on_members_changed(); };
    hooks.informs_all = [this] { return this->limits->has_limits(); };
    hooks.on_store_state = [this](const peer_heartbeat& heartbeat) {
        if (this->view.on_heartbeat(heartbeat)) {
            this->callbacks.on_era(heartbeat.era);
            this->on_era_changed(heartbeat.era);
        }
        this->witnesses.on_witness(this->view.quality_of(heartbeat));
        this->conclude_witness_search(now());
    };
    hooks.is_confirmed = [this] { return this->is_confirmed(); };
    hooks.quarantined = [this] { return this->core.suspects().quarantined(now()); };
    hooks.on_quarantined = [this](const std::vector<quarantine::suspect_report>& reports) {
        this->crashes->on_reports(now(), reports);
    };
    hooks.on_unhandled_request = [this](const http::exchange_ptr& exchange) {
        if (crash_exchange::is_crash_call(exchange->request().target)) {
            this->crashes->on_call(now(), exchange);
            return true;
        }
        if (confirmation_exchange::is_confirmation_call(exchange->request().target)) {
            this->confirmations->on_call(exchange);
            return true;
        }
        if (limit_exchange::is_limit_call(exchange->request().target)) {
            this->limits->on_call(now(), exchange);
            return true;
        }
        if (this->plans != nullptr && plan_exchange::is_plan_call(exchange->request().target)) {
            this->plans->on_call(now(), exchange);
            return true;
        }
        if (store_relay::is_follower_call(exchange->request().target)) {
            this->relay->on_follower_call(now(), exchange);
            return true;
        }
        return false;
    };
    return std::make_unique<peer_gossip>(context, this->settings, this->view, random, std::move(hooks));
}

std::unique_ptr<quarantine_archive> gateway_engine::make_archive(boost::asio::io_context& context,
                                                                 const random_hook& random)
{
    quarantine_archive::hooks hooks;
    hooks.is_responsible = [this](fingerprint request_fingerprint) {
        return this->crashes->is_responsible_for(request_fingerprint);
    };
    hooks.has_lost_sight = [this] { return this->has_lost_sight && this->relay->watches_store(); };
    hooks.on_read = [this](const std::vector<quarantine::suspect_report>& reports) {
        this->crashes->on_reports(now(), reports);
    };
    hooks.on_era = [this](store::store_era latest) { this->on_era(latest); };
    return std::make_unique<quarantine_archive>(context, this->settings, this->dialect.store,
                                                this->core.suspects(), random, std::move(hooks));
}

std::unique_ptr<limit_exchange> gateway_engine::make_limits(boost::asio::io_context& context)
{
    return std::make_unique<limit_exchange>(context, this->settings, this->self().incarnation, this->metrics,
                                            [this](const rate_limits::token_decision& decision) {
                                                this->core.on_tokens(now(), decision.flow, decision.account,
                                                                     decision.outcome);
                                                this->run_actions();
                                            });
}
} // namespace buckthornhill::gateway
