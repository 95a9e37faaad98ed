#pragma once

#include <map>

#include "shift/settled_share.h"
#include "shift/shift_types.h"

namespace buckthornhill::shift {
//! Enforces one owner's share of the caps on shifts into its region.
class shift_limiter
{
public:
    explicit shift_limiter(const shift_configuration& configuration);

    //! This owner has `owned` of the region's `total` slots of the service.
    void set_service_share(time_point now, const service_id& service, std::int64_t owned, std::int64_t total);
    //! This owner has `owned` of the region's `total` slots of all services.
    void set_link_share(time_point now, std::int64_t owned, std::int64_t total);

    //! To be called while other regions request or use slots here, so that the ramp continues.
    void on_demand(time_point now, const service_id& service);
    //! Number of slots that shifted requests may use at the same time at this owner, rounded down.
    std::int64_t cap(time_point now, const service_id& service);

    bool link_has_room(time_point now, const region_id& region);
    //! Counts bytes sent between this owner and `region`, both directions together, against the link's share.
    void on_bytes(time_point now, const region_id& region, byte_count bytes);

private:
    struct service_shift
    {
        settled_share owned_slots;
        time_point ramp_start{};
        time_point last_demand{};
        bool has_demand = false;
    };
    struct link_bucket
    {
        double tokens = 0;
        time_point refilled_at{};
    };

    void refill(time_point now, link_bucket& bucket);

    shift_configuration configuration;
    std::map<service_id, service_shift> services;
    settled_share link_share;
    std::map<region_id, link_bucket> links;
};
} // namespace buckthornhill::shift
