#pragma once

#include <map>
#include <unordered_map>

#include "fleet/upstream_roster.h"
#include "placement/placement_types.h"
#include "placement/region_plan.h"

namespace buckthornhill::placement {
//! The upstreams of which a planner decides, and how the requests of its region are divided over the regions.
struct planning_view
{
    const fleet::upstream_roster& roster;
    region_plan& regions;
};

//! Demand that a plan gives to each upstream, relative to its weighted slots and to the mean of its service.
class planned_load
{
public:
    //! To be called before the demand is added again, and when slots or weights have changed.
    void clear();
    //! Adds an object to the demand of the service, whether it is placed or not.
    void add_demand(const service_id& service, double slots);
    void place(const upstream_id& upstream, double slots);
    void remove(const upstream_id& upstream, double slots);

    std::size_t objects_at(const upstream_id& upstream) const;
    double demand_at(const upstream_id& upstream) const;
    double total_demand() const;
    //! Demand of the upstream with `more` slots added, for each weighted slot, divided by the mean of the
    //! service; 1 when the load is even.
    double over_mean(const planning_view& view, const service_id& service, const upstream_id& upstream,
                     double more) const;
    //! Demand at which the upstream is at the mean of the service.
    double mean_demand(const planning_view& view, const service_id& service,
                       const upstream_id& upstream) const;

private:
    struct upstream_share
    {
        double slots = 0;
        std::size_t objects = 0;
    };

    std::unordered_map<upstream_id, upstream_share> shares;
    std::map<service_id, double> demand; //!< of all objects, in slots
    //! By service; computed when needed, since weights are.
    mutable std::map<service_id, double> weighted_slots;
};
} // namespace buckthornhill::placement
