#pragma once

#include <map>
#include <optional>
#include <string>

#include "store/collection_types.h"
#include "store/restore_reconciliation.h"

namespace buckthornhill::store {
//! The latest known state of one collection, received from the store or from peers. Its version never
//! decreases. After a restore of the store from an older copy, `restore_reconciliation` decides about the
//! entries in which the copy differs; peers get the state of the store itself and decide on their own.
class collection_mirror
{
public:
    collection_mirror()
        : collection_mirror(reconciliation_configuration{})
    {
    }
    explicit collection_mirror(const reconciliation_configuration& configuration)
        : reconciliation(configuration)
    {
    }

    //! Returns false and changes nothing when `update` is older than the known state, or holds changes of a
    //! later era without the list that they belong to.
    bool apply(time_point now, const collection_update& update);
    //! The store, or a relay in contact with it, has confirmed that this is its state.
    restore_reconciliation::decision on_confirmed(time_point now);
    //! See `restore_reconciliation::on_contact_lost`.
    void on_contact_lost() { this->reconciliation.on_contact_lost(); }

    bool is_known() const { return this->known; }
    collection_version version() const { return {this->known_era, this->known_version}; }
    store_era era() const { return this->known_era; }
    //! Version of the latest known change. Peers compare it to find out which of them has the newer state. It
    //! is the version of the change itself and not of the response that contained it, because the instances
    //! receive the same changes in different responses.
    collection_version last_change_version() const { return {this->known_era, this->last_change}; }
    //! With the entries that a restored store lacks and that are kept for a time, and without those held
    //! back.
    const std::map<std::string, stored_object>& objects() const { return this->contents; }
    const restore_reconciliation& restored() const { return this->reconciliation; }
    //! The whole collection, as the store has it, as an update for a peer.
    collection_update snapshot(collection which) const;
    //! The changes after version `since`, for a peer that has the collection at that version. Returns the
    //! whole collection if the removals after `since` are no longer recorded, or if `since` is of another
    //! era.
    collection_update changes_since(collection which, const collection_version& since) const;

private:
    struct removal
    {
        object_version version;
        std::optional<time_point> lapse_deadline;
    };

    bool is_applicable(const collection_update& update) const;
    void begin_era(time_point now, const collection_update& update);
    void apply_change(const object_change& change);
    //! Adds the kept entries to a list of the current era and takes out those held back. Returns whether some
    //! of the latter are no longer in the store.
    bool reconcile(std::map<std::string, stored_object>& listed, const collection_update& update);
    bool is_still_held(const stored_object& object) const;
    void replace(const collection_update& update);
    bool was_seen_leaving(time_point now, const std::string& name) const;
    //! Until when one of the recorded removals may be a lapse, if any may.
    std::optional<time_point> latest_lapse_deadline() const;
    void forget_oldest_removals();

    std::map<std::string, stored_object> contents;
    std::map<std::string, stored_object> held_objects; //!< in the store, but held back
    std::map<std::string, removal> removals;           //!< of the current era
    object_version removals_known_after;               //!< removals up to this version are not recorded
    restore_reconciliation reconciliation;
    store_era known_era;
    object_version known_version;
    object_version last_change;
    bool known = false;
};
} // namespace buckthornhill::store
