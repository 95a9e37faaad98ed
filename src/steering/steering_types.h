#pragma once

#include <chrono>
#include <vector>

#include "admission/admission_types.h"
#include "global/ids.h"
#include "global/place.h"
#include "global/units.h"

//! The entry instance's choice of an owner by wait, distance and credit.
namespace buckthornhill::steering {
enum class weighing {
    headroom, //!< shift early and keep slots free in every region
    latency   //!< stay near; shift only when waiting here costs more than the distance
};

struct steering_configuration
{
    weighing weigh = weighing::headroom;
    std::chrono::microseconds domain_distance{5000};  //!< one way between failure domains
    std::chrono::microseconds region_distance{12000}; //!< one way between regions
    double busy_fraction = 0.8; //!< of a region's slots; from there on it is near its limit
    std::chrono::milliseconds report_lifetime{3000}; //!< an older report is stale
    std::chrono::milliseconds shift_hold{2000};      //!< least time between starting and ending a shift
};

struct steering_choice
{
    instance_id owner; //!< empty when no owner can take the request
    bool is_remote = false;
};
} // namespace buckthornhill::steering
