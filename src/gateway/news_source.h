#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::gateway {
struct news_source_configuration
{
    //! In smaller failure domains the calls that confirm contact cost more than the relay saves.
    std::size_t least_members = 4;
    std::chrono::milliseconds retry_after{2000}; //!< a relay that failed is not asked again before
    //! At the start, time for a first peer to answer before the store is asked: some round trips between
    //! regions.
    std::chrono::milliseconds undecided_time{300};
};

//! From where this instance learns what the store holds: from the store itself, or from the one instance of
//! its failure domain that watches the store for the others there. Nobody depends on that one: whenever its
//! answer is late, or it is out of touch itself, the store is watched again at once.
class news_source
{
public:
    news_source(instance_id self, const domain_id& domain, const news_source_configuration& configuration);

    //! Live instances of the own failure domain. Until this one is among them it may follow any of them.
    void set_members(const std::vector<instance_id>& live);
    //! The relay to ask now, if any; the caller then reports the end of that call.
    std::optional<instance_id> next_call(time_point now);
    void on_answer(time_point now, bool is_source);
    void on_failure(time_point now);
    //! This process stood still: what it heard from the relay may be old.
    void on_doubt(time_point now);
    //! A peer has known more for a while, and its changes are being fetched. Returns whether the store is to
    //! be asked too: a relay that vouches for its contact is at most busy, and many would leave it at once.
    bool asks_store_when_behind() const { return this->watches_store(); }
    //! Others follow this instance, so it stays with the store.
    void set_followed(bool followed) { this->is_followed = followed; }

    bool watches_store() const { return !this->is_following; }
    const instance_id& relay() const { return this->chosen; }

private:
    void choose();

    instance_id self;
    std::uint64_t domain_key;
    news_source_configuration configuration;
    std::set<instance_id> members;
    instance_id chosen; //!< empty when this instance is the relay, or none is needed
    time_point next_try{};
    bool is_calling = false;
    bool is_doubted = false; //!< the answer that is on its way does not count
    bool is_following = false;
    bool is_followed = false;
};
} // namespace buckthornhill::gateway
