#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <variant>

#include <boost/asio/steady_timer.hpp>

#include "global/units.h"
#include "http/http_types.h"
#include "store/collection_types.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::http {
class http_client;
struct call_result;
} // namespace buckthornhill::http

namespace buckthornhill::store {
//! Contact with the store for one collection was lost or came back.
struct contact_change
{
    collection which = collection::configuration;
    bool is_in_contact = false;
    std::string detail;
};

using watcher_event = std::variant<collection_update, contact_change>;

struct collection_watcher_configuration
{
    std::chrono::milliseconds wait{15000};        //!< one waiting call; silence of a channel lasts no longer
    std::chrono::milliseconds call_timeout{2000}; //!< for an answer, beyond the wait
    std::chrono::milliseconds min_backoff{150};   //!< after a failed call, doubled up to the maximum
    std::chrono::milliseconds max_backoff{1200};
    //! An entry that went missing so long after contact came back is gone and has not just lapsed.
    std::chrono::milliseconds outage_memory{2000};
    //! Pause after a change before the next call, so that changes in quick succession come in one answer. It
    //! doubles while they go on, up to two fifths of the two seconds in which a change has to be in force.
    std::chrono::milliseconds min_pause{250};
    std::chrono::milliseconds max_pause{800};
    //! Between the first list of a process and its first waiting call. Meanwhile an instance usually finds
    //! one that watches the store for it, so the call is not made at all.
    std::chrono::milliseconds first_pause{1200};
    //! The same two while contact is being confirmed: together they bound how old a confirmation gets, and
    //! leave the instances that depend on it a second of the two in which a change has to be in force.
    std::chrono::milliseconds confirming_wait{600};
    std::chrono::milliseconds confirming_pause{400};
    //! The instances' list seeds heartbeats, which bring the rest, so it is read but not watched.
    std::chrono::milliseconds instances_interval{30000};
};

//! Lists each collection and then keeps one waiting call for it. Runs on the store thread.
class collection_watcher
{
public:
    //! Returns false when the event could not be taken; the collection is then listed again.
    using event_sink = std::function<bool(watcher_event)>;

    collection_watcher(boost::asio::io_context& context, http::endpoint server, store_dialect dialect,
                       const collection_watcher_configuration& configuration, event_sink sink,
                       random_hook random);
    ~collection_watcher();
    collection_watcher(const collection_watcher&) = delete;
    collection_watcher& operator=(const collection_watcher&) = delete;

    void start() { this->resume({}); }
    //! A peer knows more: the waiting call may have gone silent, so a new one takes its place.
    void refresh(collection which);
    //! Makes no more calls for lists and changes until `resume`: another instance passes them on.
    void suspend();
    //! Goes on from the versions that are known by now.
    void resume(const std::map<collection, object_version>& known);
    //! While others depend on it, contact with the store is confirmed about once a second.
    void set_confirming(bool confirms);
    //! Writes this instance's object, again and again until the store took it.
    void publish_instance(const std::string& name, const std::string& body);
    //! Removes it; tried once, since the process is about to end.
    void withdraw_instance(const std::string& name);

private:
    struct watch;

    void call(collection which);
    std::chrono::milliseconds wait_of(collection which) const;
    std::chrono::milliseconds longest_pause() const;
    void on_list_result(collection which, const http::call_result& result);
    void on_watch_result(collection which, const http::call_result& result);
    void on_failure(collection which, const http::call_result& result);
    void on_contact(watch& state);
    bool is_after_outage(const watch& state) const;
    void deliver(collection which, collection_update update);
    void call_after_pause(collection which, bool has_changes);
    void call_later(collection which, std::chrono::milliseconds delay);
    void retry_later(collection which);
    void publish(bool exists);

    boost::asio::io_context& context;
    http::endpoint server;
    store_dialect dialect;
    collection_watcher_configuration configuration;
    event_sink sink;
    random_hook random;
    std::unique_ptr<http::http_client> client;
    std::map<collection, std::unique_ptr<watch>> watches;
    std::unique_ptr<boost::asio::steady_timer> publish_again;
    bool is_suspended = true;
    bool is_confirming = false;
    std::string instance_name;
    std::string instance_body;
};
} // namespace buckthornhill::store
