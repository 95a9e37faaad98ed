#pragma once

#include <chrono>

#include "global/ids.h"
#include "global/units.h"

//! Caps on traffic that comes from other regions: slots per service, and bytes per link between regions.
//! Each owner keeps its own share, in proportion to the slots it owns, so the sum keeps the cap.
namespace buckthornhill::shift {
struct shift_configuration
{
    double cap_fraction = 0.5;                        //!< of a region's slots that shifted requests may use
    double initial_fraction = 0.34;                   //!< of the cap at the start of a shift
    std::chrono::milliseconds ramp_time{6000};        //!< from the initial fraction to the whole cap
    std::chrono::milliseconds idle_reset{5000};       //!< without a shift for so long the ramp starts afresh
    std::chrono::milliseconds view_settle_time{4000}; //!< the smaller of the old and new share counts so long
    double link_bytes_per_second = 35e6;              //!< each way between two regions
    double link_fraction = 0.45;                      //!< of a link that the owners of one side may fill
};
} // namespace buckthornhill::shift
