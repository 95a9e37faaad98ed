#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>

#include "gateway/configuration_floor.h"
#include "gateway/gateway_dialect.h"
#include "membership/membership_types.h"
#include "proxy/proxy_core.h"
#include "store/collection_mirror.h"
#include "store/restore_reconciliation.h"

namespace buckthornhill::log {
class grouped_event;
}

namespace buckthornhill::gateway {
struct peer_confirmation;
struct peer_heartbeat;

//! This instance's copy of the store's collections, received from the store or from peers. Decodes them and
//! passes the result to the proxy core.
class fleet_view
{
public:
    fleet_view(const gateway_dialect& dialect, proxy::proxy_core& core,
               const store::reconciliation_configuration& reconciliation);

    //! Returns whether the update was newer than the local copy. `is_confirmed`: the confirmation of the
    //! configuration in force is still valid.
    bool apply(time_point now, const store::collection_update& update, bool is_confirmed = false);
    //! Whether configuration, upstreams and evacuations are known, so that requests can be served.
    bool is_complete() const;
    //! Whether the configuration in force is the latest valid one that the store had when it sent the latest
    //! update: it has no older one and none at all, and no version was missed before an invalid one.
    bool has_current_configuration() const;
    const store::collection_mirror& mirror(store::collection which) const { return this->mirrors.at(which); }
    //! Version of the latest change of each collection. The instances collection is left out, because
    //! heartbeats carry more recent information than the store's list.
    std::map<store::collection, store::collection_version> changed_versions() const;
    //! Store version up to which each collection is known.
    std::map<store::collection, store::collection_version> known_versions() const;
    std::vector<membership::member_description> registered_instances() const;

    //! The store, or a relay in contact with it, has confirmed the collection. Ends the time for which
    //! entries are kept that a restored store lacks.
    void on_confirmed(time_point now, store::collection which);
    void on_contact_lost(store::collection which) { this->mirrors.at(which).on_contact_lost(); }

    //! A response of the store or a message of a peer named this era of the store. Returns whether it is
    //! later than those known.
    bool on_era(store::store_era latest);
    //! The latest era that is known, which the collections may not have reached yet.
    store::store_era era() const { return this->latest_era; }

    //! What is known of the newest configuration from before the store's current era. Confirmations of the
    //! configuration count only while the store is believed to have it.
    const configuration_floor& floor() const { return this->newest_before_era; }
    //! Whether the configuration that the store has in its current era is at least as new as the newest that
    //! this instance or a peer is known to have had before.
    bool has_store_caught_up() const { return this->newest_before_era.is_reached(); }
    //! Witnesses of the newest configuration have been heard, or none is left.
    void on_witnesses_heard() { this->newest_before_era.settle(); }
    void on_no_witness_left() { this->newest_before_era.assume(); }
    //! Quality of the sender as a witness for the era in which this instance knows the configuration.
    witness_quality quality_of(const peer_heartbeat& heartbeat) const;
    //! Whether the update, which has been applied, shows that the store had no newer configuration than the
    //! one in force when it was asked.
    bool is_confirmed_by(const store::collection_update& update) const;
    //! The same for what a relay or a peer says. Whether the view has the store's latest version does not
    //! matter here, since that instance's version is compared: after an invalid configuration, the followers
    //! of a relay have only its confirmations.
    bool is_confirmed_by(const peer_confirmation& confirmation) const;
    //! What this instance says to followers and peers; nothing while the store is not believed.
    std::optional<peer_confirmation> own_confirmation(std::chrono::nanoseconds since_boot) const;
    //! The configuration in force, which the store may not have, as an update for a peer that knows none as
    //! new.
    store::collection_update configuration_in_force() const;
    //! Puts a peer's configuration in force if it is newer; the store's own state stays as it is.
    void take_configuration(const store::collection_update& from_peer);
    //! Whether the sender has a newer configuration in force that the store may lack.
    bool lacks_configuration_of(const peer_heartbeat& heartbeat) const;
    //! Writes what peers compare with their own view.
    void describe(peer_heartbeat& heartbeat, bool is_confirmed = false) const;
    //! Takes over the sender's era if it is later, and what it knows from before. Returns whether its era is
    //! later.
    bool on_heartbeat(const peer_heartbeat& heartbeat);

private:
    void log_restore(const store::collection_update& update, store::store_era previous) const;
    bool is_known_from_before(const peer_heartbeat& heartbeat) const;
    void raise_floor(routing::configuration_version version);
    void apply_configuration(const store::collection_update& update);
    //! `shows_all_versions`: no version of the object was missed before this one.
    void apply_configuration_object(const store::stored_object& object, bool shows_all_versions);
    //! Returns whether it was newer than the one in force.
    bool put_in_force(const store::stored_object& object, routing::routing_configuration configuration);
    void apply_upstreams(time_point now, const store::collection_update& update);
    void apply_evacuations();
    std::optional<fleet::upstream_entry> decode_upstream(const store::stored_object& object,
                                                         log::grouped_event& unreadable) const;

    const gateway_dialect& dialect;
    proxy::proxy_core& core;
    std::map<store::collection, store::collection_mirror> mirrors;
    bool is_configuration_current = false;
    store::collection_version latest_configuration; //!< of the latest object, valid or not
    store::stored_object object_in_force;           //!< of the configuration
    store::store_era latest_era;
    configuration_floor newest_before_era;
};
} // namespace buckthornhill::gateway
