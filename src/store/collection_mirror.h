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
    //! Version at which the contents last changed: peers compare it to see who knows more.
    object_version changed_at() const { return this->changed; }
    const std::map<std::string, stored_object>& objects() const { return this->contents; }
    //! The whole collection, for a peer.
    collection_update snapshot(collection which) const;

private:
    std::map<std::string, stored_object> contents;
    object_version version;
    object_version changed;
    bool known = false;
};
} // namespace buckthornhill::store
