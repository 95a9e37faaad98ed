//! The gateway's part in what the store and its relays deliver.
#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_translation.h"
#include "global/log.h"

namespace buckthornhill::gateway {
namespace {
time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

void gateway_engine::on_store_event(const store::watcher_event& event)
{
    if (const auto* contact = std::get_if<store::contact_change>(&event)) {
        this->peers->on_store_contact(contact->which, contact->is_in_contact);
        if (contact->which == store::collection::upstreams) {
            this->on_upstream_contact(*contact);
        }
        if (!contact->is_in_contact) {
            this->view.on_contact_lost(contact->which);
            this->relay->on_store_lost(contact->which);
            this->relay->on_view_changed(now());
        }
        log::event("view", contact->is_in_contact ? "store_in_contact" : "store_lost",
                   {{"collection", store::to_string(contact->which)}, {"detail", contact->detail}});
        return;
    }
    if (const auto* change = std::get_if<store::era_change>(&event)) {
        log::event("view", "store_era",
                   {{"era", change->era.value()}, {"previous_era", change->previous.value()}});
        if (this->view.on_era(change->era)) {
            this->on_era_changed(change->era);
        }
        return;
    }
    const auto& update = std::get<store::collection_update>(event);
    //! NOTE A response that was sent before the era rose confirms nothing.
    const bool is_current = update.era >= this->view.era();
    if (is_current) {
        this->relay->on_store_response(now(), update.which);
    }
    this->on_collection(update);
    if (is_current) {
        this->on_confirmed(update.which);
    }
}

void gateway_engine::on_upstream_contact(const store::contact_change& contact)
{
    if (contact.is_in_contact) {
        this->core.upstreams().on_store_contact(contact.lapse_deadline);
    } else {
        this->core.upstreams().on_store_lost();
    }
}

void gateway_engine::on_confirmed(store::collection which)
{
    this->view.on_confirmed(now(), which);
    if (which == store::collection::upstreams) {
        this->core.upstreams().on_confirmed(now());
    }
    this->run_actions();
}

void gateway_engine::on_era(store::store_era latest)
{
    if (this->view.on_era(latest)) {
        this->callbacks.on_era(latest);
        this->on_era_changed(latest);
    }
}

void gateway_engine::on_era_changed(store::store_era latest)
{
    this->archive->on_era(latest);
    this->relay->on_view_changed(now());
}

void gateway_engine::on_collection(const store::collection_update& update)
{
    const auto time = now();
    this->on_era(update.era);
    if (!this->view.apply(time, update, this->is_confirmed())) {
        return;
    }
    if (update.which == store::collection::configuration) {
        this->begin_witness_search(time);
        this->on_store_confirmation(update);
        this->on_configuration_applied(time);
    }
    if (update.which == store::collection::instances) {
        this->peers->on_registered(time, this->view.registered_instances());
        this->update_shared_limits();
    }
    if (update.which == store::collection::upstreams) {
        this->end_detector.on_registrations_changed(time, this->core.upstreams());
    }
    this->relay->on_view_changed(time);
    if (this->view.is_complete() && !this->leave.is_leaving()) {
        this->peers->become_live(time);
    }
    this->core.on_tick(time);
    this->run_actions();
}

void gateway_engine::on_configuration_applied(time_point time)
{
    this->caller_server->set_limits(
        caller_limits_of(this->settings, this->core.routes().limits(), this->memory));
    this->limits->set_accounts(time, this->core.routes().client_accounts());
}
} // namespace buckthornhill::gateway
