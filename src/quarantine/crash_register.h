#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "quarantine/quarantine_types.h"

namespace buckthornhill::quarantine {
//! Requests that are suspected of crashing upstreams, by fingerprint. At the size limit the suspect that was
//! seen least recently is removed.
class crash_register
{
public:
    explicit crash_register(const quarantine_configuration& configuration);

    //! To be called when the connection to `upstream` broke with these requests in flight. Returns the notes
    //! to send to other instances.
    std::vector<crash_note> on_crash(time_point now, const upstream_id& upstream,
                                     const std::vector<fingerprint>& in_flight);
    //! Applies a note from another instance; returns whether it changed anything.
    bool on_crash_note(time_point now, const crash_note& note);
    //! Clears a suspected request that completed without crashing its upstream; returns whether it was
    //! suspected.
    bool on_completed(fingerprint request_fingerprint);
    quarantine_state state_of(fingerprint request_fingerprint) const;
    //! Only one request with a suspected fingerprint runs at a time in the system; the instance that runs it
    //! keeps `is_on_trial`.
    bool begin_trial(fingerprint request_fingerprint);
    void end_trial(fingerprint request_fingerprint);
    void on_tick(time_point now);
    std::vector<crash_note> notes() const;
    std::size_t size() const { return this->suspects.size(); }

private:
    struct suspect
    {
        std::set<upstream_id> crashed_upstreams;
        time_point last_seen;
        bool is_on_trial = false;
    };

    void make_room();

    quarantine_configuration configuration;
    std::unordered_map<fingerprint, suspect> suspects;
};
} // namespace buckthornhill::quarantine
