#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "global/units.h"
#include "http/http_types.h"
#include "store/collection_types.h"
#include "store/collection_watcher_configuration.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::http {
class http_client;
struct call_result;
} // namespace buckthornhill::http

namespace buckthornhill::store {
//! Contact with the store for one collection was lost or restored.
struct contact_change
{
    collection which = collection::configuration;
    bool is_in_contact = false;
    std::string detail;
    //! Where contact was restored after an outage in which objects may have expired: see
    //! `collection_update::lapse_deadline`.
    std::optional<time_point> lapse_deadline{};
};

//! The store came back from an older copy, or named its era for the first time.
struct era_change
{
    store_era era;
    store_era previous;
};

using watcher_event = std::variant<collection_update, contact_change, era_change>;

class instance_registration;

//! Lists each collection and then keeps one long poll open for it. Lists all of them again when a response
//! names a later era of the store. Runs on the store thread.
class collection_watcher
{
public:
    //! Returns false when the event could not be accepted; the collection is then listed again.
    using event_sink = std::function<bool(watcher_event)>;

    collection_watcher(boost::asio::io_context& context, http::endpoint server, store_dialect dialect,
                       const collection_watcher_configuration& configuration, event_sink sink,
                       random_hook random);
    ~collection_watcher();
    collection_watcher(const collection_watcher&) = delete;
    collection_watcher& operator=(const collection_watcher&) = delete;

    void start() { this->resume({}); }
    //! Replaces the long poll by a new one: a peer has a newer version, so the current connection may be
    //! dead. The instances, which are not watched, are listed at once.
    void refresh(collection which);
    //! Asks the store to respond at once for a collection that is watched, without a pause before.
    void check(collection which);
    //! Stops listing and watching until `resume`, because another instance relays the updates.
    void suspend();
    //! Continues watching from the versions in `known`; collections of an earlier era are listed again.
    void resume(const std::map<collection, collection_version>& known);
    //! The store has reached this era, as a response elsewhere or a peer says. An earlier one is ignored.
    //! Returns whether all collections are listed again, calls in progress included.
    bool on_era(store_era latest);
    //! While other instances depend on this one, contact with the store is confirmed about once a second.
    void set_has_dependent_instances(bool has_dependents);
    //! Writes this instance's object, with retries until the store has accepted it, and again in each later
    //! era, where an object that `is_older` rejects is not replaced.
    void publish_instance(const std::string& name, const std::string& body,
                          std::function<bool(const stored_object&)> is_older = {});
    //! Removes this instance's object, without retries because the process is about to end.
    void withdraw_instance(const std::string& name);

private:
    struct watch;

    //! Whether the result may be used. One of an earlier era is late, and one of a later era starts the lists
    //! anew; in both cases the call is repeated.
    bool accept_era(collection which, const http::call_result& result);
    void list_again(collection which);
    void call(collection which);
    std::chrono::milliseconds long_poll_duration(collection which) const;
    std::chrono::milliseconds current_max_pause() const;
    bool has_contact() const;
    //! Calls the store for the collections that wait for contact, and again for those whose calls may have
    //! been lost in the outage.
    void call_others_after_outage(const watch& restored);
    void on_list_result(collection which, const http::call_result& result);
    //! The pages do not lead to the end of the list, so it is read again after a pause.
    void on_stuck_list(collection which);
    void on_watch_result(collection which, const http::call_result& result);
    void on_failure(collection which, const http::call_result& result);
    void on_contact(collection which);
    //! See `collection_update::lapse_deadline`.
    std::optional<time_point> lapse_deadline(const watch& state) const;
    void deliver(collection which, collection_update update);
    void call_after_pause(collection which, bool has_changes);
    void call_later(collection which, std::chrono::milliseconds delay);
    void retry_later(collection which);
    std::chrono::milliseconds draw_jitter();

    boost::asio::io_context& context;
    http::endpoint server;
    store_dialect dialect;
    collection_watcher_configuration configuration;
    event_sink sink;
    random_hook random;
    std::unique_ptr<http::http_client> client;
    std::map<collection, std::unique_ptr<watch>> watches;
    std::unique_ptr<instance_registration> registration;
    store_era era;               //!< the latest that any response named
    time_point failed_call_at{}; //!< when the latest call of any collection that failed began
    bool is_suspended = true;
    bool has_dependent_instances = false;
    //! The latest that the store responded for. While no collection is in contact, the calls for it show when
    //! the outage is over; those for the others are repeated only now and then.
    collection last_in_contact = collection::configuration;
};
} // namespace buckthornhill::store
