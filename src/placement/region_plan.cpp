#include "placement/region_plan.h"

#include <algorithm>

namespace buckthornhill::placement {
namespace {
//! Part of the requests that is placed by the plan. The others are spread over all slots, so that regions
//! help each other while their demand differs from the plan.
constexpr double planned_part = 0.5;
//! An instance that stops is usually replaced or restarted; until then its callers use others nearby.
constexpr std::chrono::seconds instance_retention{20};
} // namespace

void region_plan::set_instances(time_point now, const std::vector<known_instance>& known)
{
    for (const auto& instance : known) {
        this->instances[instance.id] = {instance.region, now};
    }
    std::erase_if(this->instances,
                  [now](const auto& item) { return now - item.second.last_known_at > instance_retention; });
    std::map<region_id, double> shares;
    for (const auto& [id, instance] : this->instances) {
        shares[instance.region] += 1.0 / static_cast<double>(this->instances.size());
    }
    if (shares != this->demand_shares) {
        this->demand_shares = std::move(shares);
        this->weights.clear();
        ++this->plan_epoch;
    }
}

region_plan::region_weights region_plan::make_weights(const fleet::upstream_roster& roster,
                                                      const service_id& service) const
{
    std::map<region_id, double> slots;
    double all_slots = 0;
    for (const auto& id : roster.usable(service)) {
        const auto& entry = roster.find_usable(id)->entry;
        const auto count = static_cast<double>(std::max<std::int64_t>(1, entry.slots.value()));
        slots[entry.where.region] += count;
        all_slots += count;
    }
    //! Slots that the requests of a region fill when all slots of the pool are equally busy.
    const auto filled_by = [&](const region_id& region) {
        const auto found = this->demand_shares.find(region);
        return found == this->demand_shares.end() ? 0 : found->second * all_slots;
    };
    std::map<region_id, double> spare_slots;
    double all_spare_slots = 0;
    for (const auto& [region, count] : slots) {
        spare_slots[region] = std::max(0.0, count - filled_by(region));
        all_spare_slots += spare_slots[region];
    }
    const auto own = slots.find(this->own_region);
    const double own_slots = own == slots.end() ? 0 : own->second;
    const double own_demand = filled_by(this->own_region);
    const double kept = own_demand > 0 ? std::min(1.0, own_slots / own_demand) : 0;
    region_weights result;
    for (const auto& [region, count] : slots) {
        if (own_demand == 0) {
            result[region] = 1; // without known instances there is no plan
            continue;
        }
        double share = 0;
        if (region == this->own_region) {
            share = kept;
        } else if (all_spare_slots > 0) {
            share = (1 - kept) * spare_slots[region] / all_spare_slots;
        }
        const double even_share = count / all_slots;
        result[region] = (1 - planned_part) + planned_part * share / even_share;
    }
    return result;
}

double region_plan::slot_weight(const fleet::upstream_roster& roster, const service_id& service,
                                const region_id& region)
{
    if (this->roster_epoch != roster.epoch()) {
        this->weights.clear();
        this->roster_epoch = roster.epoch();
    }
    const auto [position, is_new] = this->weights.try_emplace(service);
    if (is_new) {
        position->second = this->make_weights(roster, service);
    }
    return position->second.at(region);
}
} // namespace buckthornhill::placement
