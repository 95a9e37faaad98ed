#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "http/http_types.h"

//! The content of the platform's store: collections of named objects, which are listed once and then watched.
namespace buckthornhill::store {
enum class collection {
    configuration, //!< the operator's routes and services, as a single object
    upstreams,     //!< registrations, written by the upstreams themselves
    evacuations,   //!< one object for each failure domain that must get no requests
    instances,     //!< entry instances; each writes its own object at start and stop
    quarantines    //!< requests that crash upstreams, which must outlive all instances
};

//! Those of which each instance keeps a copy.
inline constexpr std::array all_collections{collection::configuration, collection::upstreams,
                                            collection::evacuations, collection::instances};
std::string_view to_string(collection which);
//! Throws `store_error` for an unknown name.
collection parse_collection(std::string_view name);

//! Rises by one each time the store comes back from a copy; 0 when the store names no eras.
using store_era = strong_number<struct store_era_tag, std::uint64_t>;

//! Version of a collection. Revisions are given out again after a restore, so those of two eras are not
//! comparable: a version of a later era is the newer one whatever its revision.
struct collection_version
{
    store_era era;
    object_version revision;

    friend auto operator<=>(const collection_version&, const collection_version&) = default;
};

struct stored_object
{
    std::string name;
    std::string text; //!< the object as the store sent it; the adapter decodes it
    object_version version;
};

struct object_change
{
    stored_object object;
    bool is_removed = false;
    //! Of a removal that may merely be the lapse of a registration in an outage of the store: its owner
    //! renews it until then, or has left.
    std::optional<time_point> lapse_deadline{};
};

struct list_page
{
    std::vector<stored_object> objects; //!< without entries that cannot be used
    bool has_more = false;
    //! Name behind which the next page starts: that of the last entry, also if it cannot be used. An earlier
    //! one when that cannot be sent back, so that entries may come twice; empty when none can.
    std::string continues_after;
    object_version version; //!< the store's version when it responded
};

struct change_batch
{
    std::vector<object_change> changes;
    object_version version;
};

//! An update of one collection, received from the store or from a peer that relays it.
struct collection_update
{
    collection which = collection::configuration;
    bool is_snapshot = false; //!< `changes` holds the whole collection rather than only what changed
    //! The same as for a removal, for all objects that a whole collection lacks.
    std::optional<time_point> lapse_deadline{};
    object_version version;
    std::vector<object_change> changes;
    store_era era{};
    //! Time since boot when the store was asked: its state at that moment, or a later one, is included. Zero
    //! when the update comes from a peer.
    std::chrono::nanoseconds asked_at{};

    collection_version full_version() const { return {this->era, this->version}; }
};

//! The platform-specific format of calls to its store. An adapter provides the hooks; none of them has side
//! effects.
struct store_dialect
{
    //! A list that may be stale is some seconds old, and cheap for the store.
    std::function<http::http_request(collection, const std::string& after, bool may_be_stale)> list;
    std::function<http::http_request(collection, object_version since, std::chrono::milliseconds wait)> watch;
    //! Creates the object or, when `exists`, replaces it regardless of its version.
    std::function<http::http_request(collection, const std::string& name, const std::string& body,
                                     bool exists)>
        put;
    std::function<http::http_request(collection, const std::string& name)> remove;
    //! Era that a response names, if any. May be empty for a store without eras.
    std::function<std::optional<store_era>(const http::http_response&)> decode_era;
    //! The decoders throw `buckthornhill::error` when the text cannot be parsed.
    std::function<list_page(const std::string& body)> decode_page;
    std::function<change_batch(const std::string& body)> decode_changes;
    //! Extracts from an object's text the part that was passed to `put` as the body.
    std::function<std::string(const std::string& text)> extract_body;
};
} // namespace buckthornhill::store
