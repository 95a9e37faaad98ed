#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "quarantine/quarantine_types.h"

namespace buckthornhill::quarantine {
//! Which requests crash upstreams, by fingerprint. Bounded: the oldest suspect leaves first.
class crash_register
{
public:
    explicit crash_register(const quarantine_configuration& configuration);

    //! The connection to `upstream` died with these requests in flight. Returns the notes to share.
    std::vector<crash_note> on_crash(time_point now, const upstream_id& upstream,
                                     const std::vector<fingerprint>& in_flight);
    //! Takes over what another instance saw; returns whether anything was new.
    bool on_crash_note(time_point now, const crash_note& note);
    //! A request that completes did not crash its upstream; returns whether it was a suspect.
    bool on_completed(fingerprint request_fingerprint);
    quarantine_state state_of(fingerprint request_fingerprint) const;
    //! Suspects run one at a time in the system; `is_on_trial` is kept by the instance that runs them.
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
