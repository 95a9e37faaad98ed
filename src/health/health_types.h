#pragma once

#include <chrono>

#include "global/ids.h"
#include "global/units.h"

//! The owner's judgement of its upstreams, from live traffic first and probes of quiet ones.
namespace buckthornhill::health {
enum class condition {
    unverified, //!< taken over just now; no work until it answered a probe, or the wait is over
    healthy,
    ejected, //!< no new work until a probe succeeds
    leaving  //!< the upstream or the platform said so; no new work
};

struct health_configuration
{
    int failures_to_eject = 3;             //!< in a row
    double max_ejected_fraction = 1.0 / 3; //!< of one service's upstreams in the system
    std::chrono::milliseconds quiet_before_probe{2000};
    std::chrono::milliseconds probe_interval_ejected{500};
    std::chrono::milliseconds verification_timeout{
        1000}; //!< an upstream that does not answer its first probe is tried then
};
} // namespace buckthornhill::health
