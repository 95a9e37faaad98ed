#pragma once

#include <map>
#include <string>

#include "membership/membership_types.h"
#include "store/collection_types.h"

namespace buckthornhill::gateway {
//! What one entry instance tells another about itself, its peers and how new its view of the store is.
struct peer_news
{
    membership::gossip members; //!< the sender first
    std::map<store::collection, object_version> changed_at;
};

//! JSON; member records are arrays to keep them short.
std::string encode_news(const peer_news& news);
//! Throws `gateway_error`.
peer_news decode_news(const std::string& text);
std::string encode_collection(const store::collection_update& update);
//! Throws `gateway_error`.
store::collection_update decode_collection(const std::string& text);
//! The object that an instance registers in the store.
std::string encode_registration(const membership::member_description& member);
//! Throws `gateway_error`.
membership::member_description decode_registration(const std::string& text);
} // namespace buckthornhill::gateway
