#pragma once

#include <chrono>

#include "global/ids.h"
#include "global/units.h"

//! Health of an owner's upstreams, derived from live traffic and, for upstreams without traffic, from probes.
namespace buckthornhill::health {
enum class condition {
    unverified, //!< just taken over; gets no work until it answers a probe or the verification timeout ends
    healthy,
    ejected, //!< gets no new work until a probe succeeds
    leaving  //!< announced by the upstream or the platform; gets no new work
};

struct health_configuration
{
    int failures_to_eject = 3;             //!< consecutive failures
    double max_ejected_fraction = 1.0 / 3; //!< fraction of one service's upstreams in the whole system
    std::chrono::milliseconds quiet_before_probe{2000};
    std::chrono::milliseconds probe_interval_ejected{500};
    std::chrono::milliseconds verification_timeout{1000}; //!< unverified upstreams get work after this time
};
} // namespace buckthornhill::health
