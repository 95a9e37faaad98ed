#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "quarantine/completion_memory.h"
#include "quarantine/crash_register.h"

namespace buckthornhill::quarantine {
//! What one instance knows of requests that crash upstreams: those that were in progress when an upstream
//! ended, what other instances report, and what completed and is therefore innocent. A lost connection alone
//! is no crash; the caller finds out whether the upstream has ended.
class crash_watch
{
public:
    explicit crash_watch(const quarantine_configuration& configuration);

    enum class admission {
        free,
        needs_permission, //!< only one may run at a time in the system
        quarantined
    };
    admission admission_of(time_point now, fingerprint request_fingerprint) const;
    duration quarantine_left(time_point now, fingerprint request_fingerprint) const
    {
        return this->suspects.quarantine_left(now, request_fingerprint);
    }
    //! Whether a request whose upstream ended may be sent again at once: nobody knows of another such end.
    bool may_repeat(time_point now, fingerprint request_fingerprint) const;

    //! The connection to `run` was lost with the request in progress. Returns whether the request is
    //! suspected if the upstream has ended: it is not if it completed lately.
    bool on_connection_lost(time_point now, const upstream_run& run, fingerprint request_fingerprint);
    //! The upstream has ended: returns notes about the requests that were in progress there.
    std::vector<crash_note> on_upstream_ended(time_point now, const upstream_run& run);
    //! Returns what was known of the request, which is cleared of it.
    std::optional<suspect_report> on_completed(time_point now, fingerprint request_fingerprint);

    //! Applies a note of another instance; returns what is known then, or nothing when the request has
    //! completed here.
    std::optional<suspect_report> on_note(time_point now, const crash_note& note);
    //! Returns false when the request has completed here, which refutes the report.
    bool on_report(time_point now, const suspect_report& report);
    //! Another instance saw the request complete. Returns whether it was suspected.
    bool on_cleared(time_point now, fingerprint request_fingerprint);
    bool grant_permission(time_point now, fingerprint request_fingerprint);
    //! The request that was let run has ended and has not run. After a quarantine the next one waits all the
    //! same.
    void end_trial(fingerprint request_fingerprint);
    void on_tick(time_point now);

    std::optional<suspect_report> report_of(time_point now, fingerprint request_fingerprint) const
    {
        return this->suspects.report_of(now, request_fingerprint);
    }
    //! For heartbeats, so that instances learn what they missed.
    std::vector<suspect_report> quarantined(time_point now) const;
    //! Suspects that have to run singly, or were quarantined: what must outlive the instances. Those with the
    //! most crashes when there are too many.
    std::vector<suspect_report> lasting(time_point now) const;
    //! Requests that were quarantined here, and not by a report, since the last call.
    std::vector<suspect_report> take_new_quarantines() { return std::exchange(this->new_quarantines, {}); }
    std::size_t suspect_count() const { return this->suspects.size(); }

private:
    struct lost_requests
    {
        time_point lost_at;
        std::set<fingerprint> requests;
    };

    bool has_completed_since(fingerprint request_fingerprint, time_point crashed_at) const;
    //! Runs `change` and remembers the request if it is quarantined by it.
    template <typename Change>
    void apply_and_track(time_point now, fingerprint request_fingerprint, Change change);

    quarantine_configuration configuration;
    crash_register suspects;
    completion_memory completions;
    std::map<upstream_run, lost_requests> lost;
    std::vector<suspect_report> new_quarantines;
    time_point next_cleanup_at{};
};
} // namespace buckthornhill::quarantine
