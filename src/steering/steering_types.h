#pragma once

#include <chrono>
#include <vector>

#include "admission/admission_types.h"
#include "global/ids.h"
#include "global/place.h"
#include "global/units.h"

//! How an entry instance chooses an owner, based on waiting time, distance and credits.
namespace buckthornhill::steering {
enum class steering_policy {
    headroom, //!< shift early, to keep slots free in every region
    latency   //!< stay near; shift only when the wait here exceeds the round trip to another region
};

struct steering_configuration
{
    steering_policy policy = steering_policy::headroom;
    std::chrono::microseconds domain_distance{5000};  //!< one-way delay between failure domains
    std::chrono::microseconds region_distance{12000}; //!< one-way delay between regions
    double busy_fraction = 0.8; //!< of a region's slots; from this use on the region counts as busy
    std::chrono::milliseconds report_lifetime{3000};    //!< an older report is stale
    std::chrono::milliseconds min_shift_duration{2000}; //!< between the start and the end of a shift
};

struct steering_choice
{
    instance_id owner; //!< empty when no owner can take the request
    bool is_remote = false;
};
} // namespace buckthornhill::steering
