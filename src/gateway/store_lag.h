#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "global/units.h"
#include "store/collection_types.h"

namespace buckthornhill::gateway {
//! Tracks the collections of which a peer has a newer version, and when to fetch them from that peer. The
//! store's own response is usually under way already and far smaller than a whole collection from a peer, so
//! the store gets a head start.
class store_lag
{
public:
    struct due_fetch
    {
        store::collection which = store::collection::configuration;
        std::string peer_address;
        bool has_store_contact = false; //!< the store is in contact, so its waiting call may have stalled
    };

    explicit store_lag(duration head_start)
        : head_start(head_start)
    {
    }

    void record(time_point now, store::collection which, store::collection_version version,
                const std::string& peer_address)
    {
        this->lags.try_emplace(which, lag{version, peer_address, now});
    }

    //! Returns the fetches to make now; each is returned again after another head start until the lag is
    //! closed. `known` gives the local version (0 for none), `has_store_contact` whether the store responds
    //! for the collection.
    std::vector<due_fetch> take_due(time_point now,
                                    const std::function<store::collection_version(store::collection)>& known,
                                    const std::function<bool(store::collection)>& has_store_contact)
    {
        std::erase_if(this->lags, [&](const auto& item) { return known(item.first) >= item.second.version; });
        std::vector<due_fetch> fetches;
        for (auto& [which, entry] : this->lags) {
            const bool is_first_fetch = !entry.has_been_fetched;
            const bool may_wait = has_store_contact(which) || !is_first_fetch;
            if (may_wait && now - entry.wait_started_at < this->head_start) {
                continue;
            }
            entry.wait_started_at = now;
            entry.has_been_fetched = true;
            fetches.push_back({which, entry.peer_address, has_store_contact(which)});
        }
        return fetches;
    }

private:
    struct lag
    {
        store::collection_version version;
        std::string peer_address;
        time_point wait_started_at;
        bool has_been_fetched = false;
    };

    duration head_start;
    std::map<store::collection, lag> lags;
};
} // namespace buckthornhill::gateway
