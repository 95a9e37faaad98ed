#pragma once

#include <chrono>

#include "global/ids.h"
#include "global/units.h"

//! Detects requests that crash upstreams: a request is suspected after one crash and refused after the
//! second.
namespace buckthornhill::quarantine {
enum class quarantine_state {
    clear,
    suspected,  //!< one upstream crashed with the request in flight
    quarantined //!< refused as not executed
};

//! Reports one upstream that crashed while a request ran there.
struct crash_note
{
    fingerprint request_fingerprint;
    upstream_id upstream;
    bool is_cleared = false; //!< the request has completed since, so it did not cause the crash
};

struct quarantine_configuration
{
    std::size_t crashes_to_quarantine = 2;
    std::size_t max_suspects = 4096;
    std::chrono::minutes suspect_lifetime{60};
};
} // namespace buckthornhill::quarantine
