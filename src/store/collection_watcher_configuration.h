#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "store/collection_types.h"
#include "store/restore_reconciliation.h"

namespace buckthornhill::store {
struct collection_watcher_configuration
{
    //! Time after an outage of the store, or of the path to it, within which all collections must be up to
    //! date again. A call that was lost in the outage looks like one that waits, so this bounds the duration
    //! of every call.
    std::chrono::milliseconds recovery_bound{3000};
    //! Time from the acknowledgement of a change of a collection until it must be in force. Instances that
    //! receive the changes through this one depend on how recently the store has confirmed the collection.
    std::map<collection, std::chrono::milliseconds> change_bounds{
        {collection::configuration, std::chrono::milliseconds(2000)},
        {collection::upstreams, std::chrono::milliseconds(2000)},
        {collection::evacuations, std::chrono::milliseconds(5000)}};
    //! Timeout of the response to a list.
    std::chrono::milliseconds list_timeout{2000};
    //! Timeout of the response to a long poll, in addition to its duration.
    std::chrono::milliseconds poll_timeout{800};
    std::chrono::milliseconds min_backoff{150}; //!< after a failed call; doubles up to the maximum
    std::chrono::milliseconds max_backoff{1200};
    //! Registrations that lapsed in an outage of the store are renewed within about two seconds of its end.
    std::chrono::milliseconds lapse_grace{1900};
    //! Interval at which objects are renewed by their owners.
    std::chrono::milliseconds renewal_interval{1500};
    //! Missed renewals after which an object expires.
    int renewals_until_expiry = 3;
    //! Pause between a change and the next call, so that changes in quick succession arrive in one response.
    //! It doubles while changes continue, up to two fifths of the two seconds within which a change must take
    //! effect.
    std::chrono::milliseconds min_pause{250};
    std::chrono::milliseconds max_pause{800};
    //! Pause between the first list of a process and its first long poll. During this pause an instance
    //! usually finds a relay, that is another instance that watches the store for it, and then needs no long
    //! poll.
    std::chrono::milliseconds first_pause{1200};
    //! Longest pause while other instances depend on this one's contact with the store.
    std::chrono::milliseconds max_pause_with_dependents{400};
    //! The list of instances only provides the first peers for heartbeats, which bring the other peers. It is
    //! therefore listed at this interval and not watched.
    std::chrono::milliseconds instances_interval{30000};

    //! Age that a confirmation of the configuration may reach before requests are refused; no value where
    //! requests do not depend on it. A poll confirms the state at its start, so ages reach twice its
    //! duration.
    std::optional<std::chrono::milliseconds> confirmation_bound;

    //! Duration of a long poll, and so the longest time for which its connection is silent. If the call is
    //! lost, its timeout, a pause and the next call fit into the recovery bound, or into the change bound of
    //! `which`.
    std::chrono::milliseconds poll_duration(collection which) const;
    //! The same while other instances depend on this one. `age` is that of the latest response, if that is
    //! longer ago than the usual pause.
    std::chrono::milliseconds poll_duration_with_dependents(collection which,
                                                            std::chrono::milliseconds age = {}) const;
    //! Time from the last renewals that were surely possible until the first object may expire: its owner may
    //! have renewed it up to an interval earlier.
    std::chrono::milliseconds shortest_expiring_outage() const;
    //! Until when entries that are missing after an outage may merely have lapsed, whenever this instance
    //! hears of them: the grace period from the contact that ended the outage, but within the recovery bound
    //! of the store's return. That was not before the latest call that failed began.
    time_point lapse_deadline(time_point failed_call, time_point contact) const;
    //! Age of the latest response of the store for `which` up to which other instances may depend on it. The
    //! rest of the bound is for those that must then call the store themselves.
    std::chrono::milliseconds max_confirmation_age(collection which) const;
    //! After a restore of the store from an older copy, an entry is missing for good once its owner would
    //! have renewed it as often as it may miss renewals, and all collections are up to date again.
    reconciliation_configuration reconciliation() const;

private:
    //! Shortens the long polls of the configuration to a part of `confirmation_bound`.
    std::chrono::milliseconds within_confirmation_bound(collection which, std::chrono::milliseconds duration,
                                                        double part) const;
};
} // namespace buckthornhill::store
