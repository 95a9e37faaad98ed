#pragma once

#include <chrono>

#include "global/ids.h"
#include "global/units.h"

//! Caps on traffic that comes from other regions: slots per service, and bytes per link between regions.
//! Each owner enforces a share in proportion to the slots it owns, so that the sum stays within the cap.
namespace buckthornhill::shift {
struct shift_configuration
{
    double cap_fraction = 0.5;                 //!< fraction of a region's slots that shifted requests may use
    double initial_fraction = 0.34;            //!< fraction of the cap at the start of a shift
    std::chrono::milliseconds ramp_time{6000}; //!< time from the initial fraction to the whole cap
    std::chrono::milliseconds idle_reset{5000};       //!< the ramp restarts after this time without a shift
    std::chrono::milliseconds view_settle_time{4000}; //!< delay before a share may rise
    double link_bytes_per_second = 35e6;              //!< bandwidth in each direction between two regions
    double link_fraction = 0.45; //!< fraction of a link that the owners of one side may use
};
} // namespace buckthornhill::shift
