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
    //! In smaller failure domains the calls that confirm contact cost more than the relay saves.
    std::size_t min_members = 4;
    std::chrono::milliseconds retry_delay{2000}; //!< a relay that failed is not asked again before
    //! At the start, time for a first peer to answer before the store is asked: some round trips between
    //! regions.
    std::chrono::milliseconds startup_relay_wait{300};
};

//! From where this instance learns what the store holds: from the store itself, or from the one instance of
//! its failure domain that watches the store for the others there. Nobody depends on that one: whenever its
//! answer is late, or it is out of touch itself, the store is watched again at once.
class update_source
{
public:
    update_source(instance_id self, const domain_id& domain,
                  const update_source_configuration& configuration);

    //! Live instances of the own failure domain. Until this one is among them it may follow any of them.
    void set_members(const std::vector<instance_id>& live);
    //! The relay to ask now, if any; the caller then reports the end of that call.
    std::optional<instance_id> start_relay_call(time_point now);
    void on_response(time_point now, bool is_source);
    void on_failure(time_point now);
    //! This process stood still: what it heard from the relay may be old.
    void on_pause(time_point now);
    //! A peer has known more for a while, and its changes are being fetched. Returns whether the store is to
    //! be asked too: a relay that vouches for its contact is at most busy, and many would leave it at once.
    bool asks_store_when_behind() const { return this->watches_store(); }
    //! Others follow this instance, so it stays with the store.
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
    bool ignores_pending_response = false; //!< the answer that is on its way does not count
    bool is_following = false;
    bool is_followed = false;
};
} // namespace buckthornhill::gateway
