#pragma once

#include <map>
#include <string>

#include "store/collection_types.h"

namespace buckthornhill::store {
//! The latest known state of one collection, received from the store or from peers. Its version never
//! decreases.
class collection_mirror
{
public:
    //! Returns false and changes nothing when `update` is older than the known state.
    bool apply(const collection_update& update);

    bool is_known() const { return this->known; }
    object_version version() const { return this->known_version; }
    //! Version of the latest known change. Peers compare it to find out which of them has the newer state. It
    //! is the version of the change itself and not of the response that contained it, because the instances
    //! receive the same changes in different responses.
    object_version last_change_version() const { return this->last_change; }
    const std::map<std::string, stored_object>& objects() const { return this->contents; }
    //! The whole collection as an update for a peer.
    collection_update snapshot(collection which) const;
    //! The changes after version `since`, for a peer that has the collection at that version. Returns the
    //! whole collection if the removals after `since` are no longer recorded.
    collection_update changes_since(collection which, object_version since) const;

private:
    struct removal
    {
        object_version version;
        bool after_outage = false;
    };

    void replace(const collection_update& update);
    void remove(const std::string& name, object_version version, const collection_update& update);
    void forget_oldest_removals();

    std::map<std::string, stored_object> contents;
    std::map<std::string, removal> removals;
    object_version removals_known_after; //!< removals up to this version are not recorded
    object_version known_version;
    object_version last_change;
    bool known = false;
};
} // namespace buckthornhill::store
