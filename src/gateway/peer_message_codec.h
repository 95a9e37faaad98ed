#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/confirmation_source.h"
#include "gateway/witness_quality.h"
#include "membership/membership_types.h"
#include "quarantine/quarantine_types.h"
#include "routing/routing_types.h"
#include "store/collection_types.h"

namespace buckthornhill::gateway {
//! Heartbeat between entry instances: the sender's record, records of other members, and the versions of the
//! sender's view of the store.
struct peer_heartbeat
{
    membership::gossip members; //!< the sender's own record first
    std::map<store::collection, store::collection_version> changed_at;
    std::vector<quarantine::suspect_report> quarantined; //!< requests that crash upstreams
    store::store_era era{}; //!< the latest that the sender knows of; 0 also from builds that know no eras
    routing::configuration_version newest_configuration{}; //!< in force at the sender; 0 without eras
    //! The store has not got back the sender's newest configuration since it was restored.
    bool awaits_configuration = false;
    //! Of the newest configuration from before the era in which the sender knows the configuration.
    witness_quality witness = witness_quality::none;
    bool is_confirmed = false; //!< the configuration in force at the sender
};

//! Response of an instance that watches the store to a follower.
struct relay_response
{
    bool is_source = false; //!< the sender has contact with the store; otherwise `updates` is empty
    std::vector<store::collection_update> updates;
    store::store_era era{}; //!< that all relayed collections have reached at the sender
};

//! Encodes as JSON; member records are arrays to keep the message small.
std::string encode_peer_heartbeat(const peer_heartbeat& heartbeat);
//! Throws `gateway_error`.
peer_heartbeat decode_peer_heartbeat(const std::string& text);
//! `now` is the local time, to which deadlines in the message are relative.
std::string encode_collection(time_point now, const store::collection_update& update);
//! Throws `gateway_error`.
store::collection_update decode_collection(time_point now, const std::string& text);
//! Writes the version of a collection for a query string.
std::string encode_version(const store::collection_version& version);
//! Parses a version from a query string. Throws `gateway_error`.
store::collection_version parse_version(const std::string& text);
std::string encode_relay_response(time_point now, const relay_response& response);
//! Throws `gateway_error`.
relay_response decode_relay_response(time_point now, const std::string& text);
std::string encode_confirmation(const peer_confirmation& confirmation);
//! Throws `gateway_error`.
peer_confirmation decode_confirmation(const std::string& text);
//! The same for a header: version and age in milliseconds. The age is negative when the confirmation is more
//! recent than the call.
std::string encode_confirmation_header(const peer_confirmation& confirmation);
//! Returns nothing when `text` is malformed.
std::optional<peer_confirmation> decode_confirmation_header(std::string_view text);
//! The object that an instance registers in the store.
std::string encode_registration(const membership::member_description& member);
//! Throws `gateway_error`.
membership::member_description decode_registration(const std::string& text);
//! Whether the registration in the store is of an earlier run of this instance, or unreadable.
bool is_older_registration(const std::function<std::string(const std::string&)>& extract_body,
                           const store::stored_object& object, incarnation_id own);
} // namespace buckthornhill::gateway
