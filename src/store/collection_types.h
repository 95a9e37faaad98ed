#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "global/ids.h"
#include "http/http_types.h"

//! What the platform's store holds, as collections of named objects that are listed once and then watched.
namespace buckthornhill::store {
enum class collection {
    configuration, //!< the operator's routes and services: one object
    upstreams,     //!< written by the upstreams themselves
    evacuations,   //!< one object for each failure domain that is to get nothing
    instances      //!< entry instances, written by each at its start and stop
};

inline constexpr std::array all_collections{collection::configuration, collection::upstreams,
                                            collection::evacuations, collection::instances};
std::string_view to_string(collection which);
//! Throws `store_error` for an unknown name.
collection parse_collection(std::string_view name);

struct stored_object
{
    std::string name;
    std::string text; //!< the object as the store sent it, for the adapter to decode
    object_version version;
};

struct object_change
{
    stored_object object;
    bool is_removed = false;
};

struct list_page
{
    std::vector<stored_object> objects;
    bool has_more = false;
    object_version at; //!< the store's version when it answered
};

struct change_batch
{
    std::vector<object_change> changes;
    object_version at;
};

//! Something the store, or a peer in its place, said about one collection.
struct collection_update
{
    collection which = collection::configuration;
    bool is_whole = false;     //!< `changes` is the whole collection and not what changed
    bool after_outage = false; //!< the store was away just before, so entries may only have lapsed
    object_version at;
    std::vector<object_change> changes;
};

//! How the platform spells the calls to its store. An adapter fills it in; every hook is pure.
struct store_dialect
{
    std::function<http::http_request(collection, const std::string& after)> list;
    std::function<http::http_request(collection, object_version since, std::chrono::milliseconds wait)> watch;
    //! Creates the object, or replaces it whatever its version is when `exists`.
    std::function<http::http_request(collection, const std::string& name, const std::string& body,
                                     bool exists)>
        put;
    std::function<http::http_request(collection, const std::string& name)> remove;
    //! The decoders throw `buckthornhill::error` when the text cannot be read.
    std::function<list_page(const std::string& body)> decode_page;
    std::function<change_batch(const std::string& body)> decode_changes;
    //! The part of an object's text that `put` was given as its body.
    std::function<std::string(const std::string& text)> body_of;
};
} // namespace buckthornhill::store
