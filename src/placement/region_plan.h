#pragma once

#include <map>
#include <vector>

#include "fleet/upstream_roster.h"
#include "placement/placement_types.h"

namespace buckthornhill::placement {
//! Divides the requests that enter in one region over the regions of the upstreams. Requests stay in their
//! region as far as it has enough of the pool's slots; the rest goes to regions that have slots to spare. All
//! instances of a region know the same upstreams and instances, so they make the same plan without messages.
class region_plan
{
public:
    explicit region_plan(region_id own_region)
        : own_region(std::move(own_region))
    {
    }

    //! `known` are all instances, this one included. Callers use instances near them, so the demand of a
    //! region is taken to be proportional to the number of its instances. An instance that is no longer known
    //! counts for some seconds more.
    void set_instances(time_point now, const std::vector<known_instance>& known);
    //! Weight of a slot in each region when the upstreams of an object are ranked, relative to the mean of
    //! all slots of the service; 1 in regions that are missing. Valid until the next call.
    const std::map<region_id, double>& slot_weights(const fleet::upstream_roster& roster,
                                                    const service_id& service);
    //! Increases when the weights change without a change of the roster.
    std::uint64_t epoch() const { return this->plan_epoch; }

private:
    struct retained_instance
    {
        region_id region;
        time_point last_known_at;
    };

    std::map<region_id, double> make_weights(const std::map<region_id, double>& slots) const;

    region_id own_region;
    std::map<instance_id, retained_instance> instances;
    std::map<region_id, double> demand_shares; //!< of the requests of all regions
    std::map<service_id, std::map<region_id, double>> weights;
    std::uint64_t roster_epoch = 0; //!< of the roster that `weights` were made for
    std::uint64_t plan_epoch = 0;
};
} // namespace buckthornhill::placement
