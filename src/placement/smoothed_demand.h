#pragma once

#include "global/units.h"

namespace buckthornhill::placement {
//! Moving average of the slots that the requests for one object keep busy.
class smoothed_demand
{
public:
    explicit smoothed_demand(time_point now)
        : updated_at(now)
    {
    }

    void add(time_point now, duration work);
    //! Slots, with `usual` as the value while little is known.
    double slots(time_point now, double usual) const;
    //! Work and time over which the average extends, in seconds; recent ones count most.
    double weighted_work_s(time_point now) const;
    double weighted_time_s(time_point now) const;

private:
    double work_s = 0;
    double time_s = 0;
    time_point updated_at;
};
} // namespace buckthornhill::placement
