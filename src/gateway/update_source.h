#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::gateway {
struct update_source_configuration
{
    //! In smaller failure domains the calls that confirm contact with the store cost more than a relay saves.
    std::size_t min_members = 4;
    std::chrono::milliseconds retry_delay{2000}; //!< before a relay that failed is called again
    //! Time at startup for a first peer to respond before the store is called: several round trips between
    //! regions.
    std::chrono::milliseconds startup_relay_wait{300};
};

//! Decides whether this instance watches the store itself or follows a relay, the one instance of its failure
//! domain that watches the store on behalf of the others. The relay is no single point of failure: when its
//! response is late or it has lost contact with the store, its followers immediately watch the store again.
class update_source
{
public:
    update_source(instance_id self, const domain_id& domain,
                  const update_source_configuration& configuration);

    //! Live instances of this failure domain. While this instance is not among them it may follow any of
    //! them.
    void set_members(const std::vector<instance_id>& live);
    //! Returns the relay to call now, if any. The caller must report the result with `on_response` or
    //! `on_failure`.
    std::optional<instance_id> start_relay_call(time_point now);
    void on_response(time_point now, bool is_source);
    void on_failure(time_point now);
    //! This process was paused, so the latest response of the relay may be outdated.
    void on_pause(time_point now);
    //! Whether to query the store as well when a peer has been ahead for a while and its changes are being
    //! fetched. A follower does not: a relay that confirms its contact with the store is at most busy, and
    //! many followers would leave it at the same time.
    bool asks_store_when_behind() const { return this->watches_store(); }
    //! Whether others follow this instance; if so it keeps watching the store.
    void set_followed(bool followed) { this->is_followed = followed; }

    bool watches_store() const { return !this->is_following; }
    const instance_id& relay() const { return this->chosen_relay; }

private:
    void choose_relay();

    instance_id self;
    std::uint64_t domain_key;
    update_source_configuration configuration;
    std::set<instance_id> members;
    instance_id chosen_relay; //!< empty when this instance is the relay, or none is needed
    time_point next_call_at{};
    bool is_calling = false;
    bool ignores_pending_response = false; //!< the pending response may predate a pause
    bool is_following = false;
    bool is_followed = false;
};
} // namespace buckthornhill::gateway
