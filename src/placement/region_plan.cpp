#include "placement/region_plan.h"

#include <algorithm>

namespace buckthornhill::placement {
namespace {
//! Part of the requests that is placed by the plan. The others are spread over all slots, so that regions
//! help each other while their demand differs from the plan.
constexpr double planned_part = 0.5;
//! An instance that stops is usually replaced or restarted; until then its callers use others nearby.
constexpr std::chrono::seconds instance_retention{20};

std::map<region_id, double> slots_by_region(const fleet::upstream_roster& roster, const service_id& service)
{
    std::map<region_id, double> slots;
    for (const auto& id : roster.usable(service)) {
        const auto& entry = roster.find_usable(id)->entry;
        slots[entry.where.region] += static_cast<double>(std::max<std::int64_t>(1, entry.slots.value()));
    }
    return slots;
}
} // namespace

void region_plan::set_instances(time_point now, const std::vector<known_instance>& known)
{
    for (const auto& instance : known) {
        if (!instance.has_left && instance.silent_for == duration{}) {
            this->instances[instance.id] = {instance.region, now};
        }
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

std::map<region_id, double> region_plan::make_weights(const std::map<region_id, double>& slots) const
{
    double all_slots = 0;
    for (const auto& [region, count] : slots) {
        all_slots += count;
    }
    //! Slots that the requests of a region fill when all slots of the pool are equally busy.
    const auto filled_by = [&](const region_id& region) {
        const auto found = this->demand_shares.find(region);
        return found == this->demand_shares.end() ? 0 : found->second * all_slots;
    };
    const double own_demand = filled_by(this->own_region);
    if (own_demand == 0) {
        return {};
    }
    double all_spare_slots = 0;
    for (const auto& [region, count] : slots) {
        all_spare_slots += std::max(0.0, count - filled_by(region));
    }
    const auto own = slots.find(this->own_region);
    const double kept = own == slots.end() ? 0 : std::min(1.0, own->second / own_demand);
    std::map<region_id, double> result;
    for (const auto& [region, count] : slots) {
        double share = 0;
        if (region == this->own_region) {
            share = kept;
        } else if (all_spare_slots > 0) {
            share = (1 - kept) * std::max(0.0, count - filled_by(region)) / all_spare_slots;
        }
        const double even_share = count / all_slots;
        result[region] = (1 - planned_part) + planned_part * share / even_share;
    }
    return result;
}

const std::map<region_id, double>& region_plan::slot_weights(const fleet::upstream_roster& roster,
                                                             const service_id& service)
{
    if (this->roster_epoch != roster.epoch()) {
        this->weights.clear();
        this->roster_epoch = roster.epoch();
    }
    const auto [position, is_new] = this->weights.try_emplace(service);
    if (is_new) {
        position->second = this->make_weights(slots_by_region(roster, service));
    }
    return position->second;
}
} // namespace buckthornhill::placement
