#pragma once

#include <map>
#include <string>

#include "store/collection_types.h"

namespace buckthornhill::store {
//! The newest known state of one collection, from the store or from peers. Never goes back.
class collection_mirror
{
public:
    //! Returns false when `update` is older than what is known; nothing changes then.
    bool apply(const collection_update& update);

    bool is_known() const { return this->known; }
    object_version at() const { return this->version; }
    //! Version of the latest change that is known: peers compare it to see who knows more. It is the change's
    //! own and not that of the answer which brought it, since each instance gets the changes in other
    //! answers.
    object_version changed_at() const { return this->changed; }
    const std::map<std::string, stored_object>& objects() const { return this->contents; }
    //! The whole collection, for a peer.
    collection_update snapshot(collection which) const;
    //! What a peer that knows the collection at `since` lacks: the changes, or the whole collection when
    //! removals since then are no longer remembered.
    collection_update changes_since(collection which, object_version since) const;

private:
    struct removal
    {
        object_version at;
        bool after_outage = false;
    };

    void replace(const collection_update& update);
    void remove(const std::string& name, object_version version, const collection_update& update);
    void forget_oldest_removals();

    std::map<std::string, stored_object> contents;
    std::map<std::string, removal> removals;
    object_version forgotten; //!< removals up to this version are not remembered
    object_version version;
    object_version changed;
    bool known = false;
};
} // namespace buckthornhill::store
