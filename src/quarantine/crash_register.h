#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "quarantine/quarantine_types.h"

namespace buckthornhill::quarantine {
//! Requests that are suspected of crashing upstreams, by fingerprint. At the size limit the suspect with the
//! fewest crashes is removed, and among these the one that was seen least recently.
class crash_register
{
public:
    explicit crash_register(const quarantine_configuration& configuration);

    //! To be called when `run` ended with these requests in flight. Returns the notes to send to other
    //! instances.
    std::vector<crash_note> on_crash(time_point now, const upstream_run& run,
                                     const std::vector<fingerprint>& in_flight);
    //! Applies a note from another instance; returns whether it changed anything.
    bool on_crash_note(time_point now, const crash_note& note);
    //! Adds what another instance knows; returns whether it changed anything.
    bool merge(time_point now, const suspect_report& report);
    //! Clears a request that completed without crashing its upstream; returns whether it was suspected.
    bool on_completed(fingerprint request_fingerprint);
    //! A request is in progress or arrived, which keeps an entry in the register.
    void on_seen(time_point now, fingerprint request_fingerprint);

    quarantine_state state_of(time_point now, fingerprint request_fingerprint) const;
    duration quarantine_left(time_point now, fingerprint request_fingerprint) const;
    std::size_t crash_count(fingerprint request_fingerprint) const;
    bool was_quarantined(fingerprint request_fingerprint) const;
    //! Whether only one request with this fingerprint may run at a time in the system.
    bool runs_singly(fingerprint request_fingerprint) const;
    //! The instance that lets a suspect run keeps its trial until `end_trial`.
    bool begin_trial(time_point now, fingerprint request_fingerprint);
    void end_trial(fingerprint request_fingerprint);
    void on_tick(time_point now);

    std::vector<crash_note> notes() const;
    std::optional<suspect_report> report_of(time_point now, fingerprint request_fingerprint) const;
    //! Reports of at most `limit` quarantined requests, those that were seen last first.
    std::vector<suspect_report> quarantined(time_point now, std::size_t limit) const;
    //! Reports of at most `limit` requests that were quarantined or have so many crashes, those with the most
    //! first.
    std::vector<suspect_report> with_crashes(time_point now, std::size_t crashes, std::size_t limit) const;
    std::size_t size() const { return this->suspects.size(); }

private:
    struct suspect
    {
        std::set<upstream_run> runs;
        time_point first_crash_at;
        time_point last_crash_at;
        time_point last_seen;
        time_point quarantined_until{};
        int quarantines = 0;
        time_point trial_until{};
    };

    suspect& entry_of(time_point now, fingerprint request_fingerprint);
    bool add_run(time_point now, time_point crashed_at, fingerprint request_fingerprint,
                 const upstream_run& run);
    void update_quarantine(time_point now, suspect& known);
    duration quarantine_duration(int previous) const;
    suspect_report make_report(time_point now, fingerprint request_fingerprint, const suspect& known) const;
    void make_room();

    quarantine_configuration configuration;
    std::unordered_map<fingerprint, suspect> suspects;
};
} // namespace buckthornhill::quarantine
