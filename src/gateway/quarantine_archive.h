#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_settings.h"
#include "http/http_client.h"
#include "quarantine/archive_schedule.h"
#include "quarantine/crash_watch.h"
#include "store/collection_types.h"
#include "store/list_cursor.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Keeps suspects and quarantined requests in the platform's store, so that they outlive all instances and
//! reach those that other instances cannot reach. One instance writes each of them; all read them when they
//! start, and while they have lost sight of others.
class quarantine_archive
{
public:
    struct hooks
    {
        //! This instance writes what is known of the request.
        std::function<bool(fingerprint)> is_responsible;
        //! Instances that were known lately are silent, so their messages may not arrive.
        std::function<bool()> has_lost_sight;
        std::function<void(const std::vector<quarantine::suspect_report>&)> on_read;
        //! A response named this era of the store.
        std::function<void(store::store_era)> on_era;
    };

    quarantine_archive(boost::asio::io_context& context, const gateway_settings& settings,
                       store::store_dialect dialect, const quarantine::crash_watch& suspects,
                       random_hook random, hooks callbacks);
    ~quarantine_archive();
    quarantine_archive(const quarantine_archive&) = delete;
    quarantine_archive& operator=(const quarantine_archive&) = delete;

    void on_tick(time_point now);
    //! An upstream ended under a request: what others know of it may be missing here.
    void on_crash(time_point now);
    //! The store came back from a copy: what it lacks is written again, and what it has is read again. To be
    //! called once for each era, in rising order.
    void on_era(store::store_era latest);

private:
    //! Whether a response is of the current era, or names none. Reports a later era.
    bool accept_era(const http::call_result& result);
    void read(bool may_be_stale);
    void read_page(bool may_be_stale);
    void on_page(const http::call_result& result, bool may_be_stale);
    void schedule_read(time_point now);
    void make(const quarantine::archive_schedule::write& next);

    gateway_settings settings;
    store::store_dialect dialect;
    const quarantine::crash_watch& suspects;
    random_hook random;
    hooks callbacks;
    quarantine::archive_schedule schedule;
    std::unique_ptr<http::http_client> client;
    store::store_era era;
    store::list_cursor cursor;
    bool has_read_all = false; //!< in the current era of the store
    bool is_reading = false;
    time_point restored_at{}; //!< the store came back from a copy
    time_point next_read_at{};
    time_point next_check_at{};
};
} // namespace buckthornhill::gateway
