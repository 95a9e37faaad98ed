#include "placement/planned_load.h"

#include <algorithm>
#include <limits>

namespace buckthornhill::placement {
namespace {
//! Demand below this is none, and no mean can be computed from it.
constexpr double min_demand_slots = 1e-9;

double weighted_slots_of(const planning_view& view, const std::map<region_id, double>& weights,
                         const upstream_id& upstream)
{
    const auto* known = view.roster.find_usable(upstream);
    if (known == nullptr) {
        return 0;
    }
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, known->entry.slots.value()));
    const auto found = weights.find(known->entry.where.region);
    return slots * (found == weights.end() ? 1 : found->second);
}
} // namespace

void planned_load::clear()
{
    this->shares.clear();
    this->demand.clear();
    this->weighted_slots.clear();
}

void planned_load::add_demand(const service_id& service, double slots)
{
    this->demand[service] += slots;
}

void planned_load::place(const upstream_id& upstream, double slots)
{
    auto& share = this->shares[upstream];
    share.slots += slots;
    ++share.objects;
}

void planned_load::remove(const upstream_id& upstream, double slots)
{
    const auto found = this->shares.find(upstream);
    if (found == this->shares.end()) {
        return;
    }
    found->second.slots -= slots;
    if (--found->second.objects == 0) {
        this->shares.erase(found);
    }
}

std::size_t planned_load::objects_at(const upstream_id& upstream) const
{
    const auto found = this->shares.find(upstream);
    return found == this->shares.end() ? 0 : found->second.objects;
}

double planned_load::demand_at(const upstream_id& upstream) const
{
    const auto found = this->shares.find(upstream);
    return found == this->shares.end() ? 0 : found->second.slots;
}

double planned_load::total_demand() const
{
    double total = 0;
    for (const auto& [service, slots] : this->demand) {
        total += slots;
    }
    return total;
}

double planned_load::mean_demand(const planning_view& view, const service_id& service,
                                 const upstream_id& upstream) const
{
    const auto found = this->demand.find(service);
    if (found == this->demand.end() || found->second < min_demand_slots) {
        return 0;
    }
    const auto& weights = view.regions.slot_weights(view.roster, service);
    const auto [total, is_new] = this->weighted_slots.try_emplace(service, 0);
    if (is_new) {
        for (const auto& id : view.roster.usable(service)) {
            total->second += weighted_slots_of(view, weights, id);
        }
    }
    if (total->second <= 0) {
        return 0;
    }
    return found->second * weighted_slots_of(view, weights, upstream) / total->second;
}

double planned_load::over_mean(const planning_view& view, const service_id& service,
                               const upstream_id& upstream, double more) const
{
    const double planned = more + this->demand_at(upstream);
    const double mean = this->mean_demand(view, service, upstream);
    //! NOTE Regions to which the plan sends nothing have weight 0.
    return mean > 0 ? planned / mean : planned > 0 ? std::numeric_limits<double>::max() : 0;
}
} // namespace buckthornhill::placement
