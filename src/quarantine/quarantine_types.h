#pragma once

#include <chrono>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

//! Detects requests that crash upstreams. A request is suspected when upstreams end while it is in progress
//! there, and quarantined, that is refused, after some of them. A request that completes is cleared.
namespace buckthornhill::quarantine {

enum class quarantine_state {
    clear,
    suspected,  //!< upstreams ended with the request in progress, too few for a quarantine
    quarantined //!< refused as not executed
};

//! Reports one upstream that ended while a request ran there.
struct crash_note
{
    fingerprint request_fingerprint;
    upstream_run run;
    duration age{};          //!< since the upstream ended
    bool is_cleared = false; //!< the request has completed since, so it did not cause the crash
};

//! All that an instance knows of a suspect, with times relative to now, since clocks differ.
struct suspect_report
{
    fingerprint request_fingerprint;
    std::vector<upstream_run> runs; //!< that ended with the request in progress
    duration first_crash_age{};
    duration last_crash_age{};
    duration quarantine_left{};
    int quarantines = 0; //!< so far
};

struct quarantine_configuration
{
    std::size_t crashes_to_quarantine = 2;
    //! Crashes within this time may have a common cause that is not the request: they do not quarantine it,
    //! unless there are `crashes_to_quarantine_at_once`.
    std::chrono::milliseconds simultaneous_span{0};
    std::size_t crashes_to_quarantine_at_once = 2;
    //! From this number of crashes on, and after a quarantine, a suspect runs one at a time in the system.
    std::size_t crashes_to_run_singly = 1;
    std::size_t max_suspects = 4096;
    std::chrono::seconds suspect_lifetime{3600};
    //! Each quarantine after the first lasts `quarantine_growth` times as long as the one before.
    std::chrono::seconds first_quarantine{3600};
    std::chrono::seconds max_quarantine{3600};
    int quarantine_growth = 1;
    std::chrono::seconds trial_limit{3600}; //!< after which a trial whose end is not known counts as over
    //! A completion this long before a crash still speaks for a request that is often in progress.
    std::chrono::milliseconds completion_credit{0};
};
} // namespace buckthornhill::quarantine
