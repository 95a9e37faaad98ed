#include "drain/slowdown_gate.h"

#include <algorithm>
#include <map>

namespace buckthornhill::drain {
namespace {
using place_key = std::pair<region_id, service_id>;

//! Slots of each customer for each region and service, from the quotas of its plan.
using entitlement_map = std::map<std::pair<customer_id, place_key>, slot_count>;

entitlement_map entitlements_of(const lists::plans_list& plans, const lists::quotas_list& quotas)
{
    std::multimap<plan_id, const lists::quota_entry*> by_plan;
    for (const auto& quota : quotas.quotas) {
        by_plan.emplace(quota.plan, &quota);
    }
    entitlement_map entitlements;
    for (const auto& customer : plans.customers) {
        const auto [first, last] = by_plan.equal_range(customer.plan);
        for (auto position = first; position != last; ++position) {
            const auto& quota = *position->second;
            entitlements[{customer.name, {quota.region, quota.service}}] = quota.slots;
        }
    }
    return entitlements;
}

std::map<place_key, slot_count> promised_by_place(const entitlement_map& entitlements)
{
    std::map<place_key, slot_count> promised_slots;
    for (const auto& [key, slots] : entitlements) {
        promised_slots[key.second] += slots;
    }
    return promised_slots;
}

bool was_called(const lists::plans_list& plans, const customer_id& customer, const std::string& subject)
{
    return std::any_of(plans.calls.begin(), plans.calls.end(), [&](const lists::customer_call& call) {
        return call.customer == customer && call.subject == subject;
    });
}

//! Forecasts the effect of one drain in addition to the drains that are already released.
class drain_forecast
{
public:
    drain_forecast(const lists::plans_list& plans, const lists::quotas_list& quotas,
                   const lists::instances_list& instances)
        : plans(plans)
        , instances(instances)
        , entitlements(entitlements_of(plans, quotas))
        , promised_slots(promised_by_place(this->entitlements))
    {
    }

    std::vector<pending_notification> notifications_for(const lists::drain_mark& mark,
                                                        const slowdown_gate& released) const
    {
        std::map<place_key, slot_count> left;
        std::set<place_key> affected;
        for (const auto& upstream : this->instances.upstreams) {
            const place_key place{upstream.region, upstream.service};
            if (covers(mark, upstream)) {
                affected.insert(place);
            } else if (!upstream.is_leaving && !released.is_drained(upstream)) {
                left[place] += upstream.slots;
            }
        }
        std::vector<pending_notification> notifications;
        for (const auto& place : affected) {
            this->append_notifications(mark, place, left[place], notifications);
        }
        return notifications;
    }

private:
    void append_notifications(const lists::drain_mark& mark, const place_key& place,
                              slot_count available_slots,
                              std::vector<pending_notification>& notifications) const
    {
        const auto found = this->promised_slots.find(place);
        if (found == this->promised_slots.end() || available_slots >= found->second) {
            return;
        }
        const auto subject = "drain:" + mark.id;
        for (const auto& [key, slots] : this->entitlements) {
            const auto& [customer, customer_place] = key;
            const bool is_slowed = customer_place == place && slots > slot_count{};
            if (is_slowed && !was_called(this->plans, customer, subject)) {
                notifications.push_back(
                    {customer, subject, place.first, place.second, found->second, available_slots});
            }
        }
    }

    const lists::plans_list& plans;
    const lists::instances_list& instances;
    entitlement_map entitlements;
    std::map<place_key, slot_count> promised_slots;
};
} // namespace

bool covers(const lists::drain_mark& mark, const ownership::upstream_description& upstream)
{
    switch (mark.kind) {
    case lists::drain_target_kind::upstream:
        return mark.target == upstream.id.str();
    case lists::drain_target_kind::domain:
        return mark.target == upstream.domain.str();
    case lists::drain_target_kind::region:
        return mark.target == upstream.region.str();
    }
    return false;
}

void slowdown_gate::update(const lists::plans_list& plans, const lists::quotas_list& quotas,
                           const lists::drains_list& drains, const lists::instances_list& instances)
{
    const drain_forecast forecast(plans, quotas, instances);
    std::set<std::string> marked_ids;
    this->current_decisions.clear();
    for (const auto& mark : drains.drains) {
        drain_decision decision{mark, this->released_ids.contains(mark.id), {}};
        if (!decision.is_released) {
            decision.pending_notifications = forecast.notifications_for(mark, *this);
            decision.is_released = decision.pending_notifications.empty();
        }
        if (decision.is_released) {
            this->released_ids.insert(mark.id);
        }
        marked_ids.insert(mark.id);
        this->current_decisions.push_back(std::move(decision));
    }
    std::erase_if(this->released_ids, [&](const std::string& id) { return !marked_ids.contains(id); });
}

bool slowdown_gate::is_drained(const ownership::upstream_description& upstream) const
{
    return std::any_of(this->current_decisions.begin(), this->current_decisions.end(),
                       [&](const drain_decision& decision) {
                           return decision.is_released && covers(decision.mark, upstream);
                       });
}

std::vector<pending_notification> notifications_for_lowered_quotas(const lists::plans_list& old_plans,
                                                                   const lists::quotas_list& old_quotas,
                                                                   const lists::plans_list& new_plans,
                                                                   const lists::quotas_list& new_quotas)
{
    const auto before = entitlements_of(old_plans, old_quotas);
    const auto after = entitlements_of(new_plans, new_quotas);
    std::vector<pending_notification> notifications;
    for (const auto& [key, old_slots] : before) {
        const auto found = after.find(key);
        const auto new_slots = found == after.end() ? slot_count{} : found->second;
        if (new_slots >= old_slots) {
            continue;
        }
        const auto& [customer, place] = key;
        const auto subject = "quota:" + place.first.str() + "/" + place.second.str();
        if (!was_called(old_plans, customer, subject) && !was_called(new_plans, customer, subject)) {
            notifications.push_back({customer, subject, place.first, place.second, old_slots, new_slots});
        }
    }
    return notifications;
}

std::vector<std::string> overcommitted_quotas(const lists::plans_list& plans,
                                              const lists::quotas_list& quotas,
                                              const lists::instances_list& instances)
{
    std::map<place_key, std::map<domain_id, slot_count>> capacity;
    for (const auto& upstream : instances.upstreams) {
        if (!upstream.is_leaving) {
            capacity[{upstream.region, upstream.service}][upstream.domain] += upstream.slots;
        }
    }
    std::vector<std::string> faults;
    for (const auto& [place, promised_slots] : promised_by_place(entitlements_of(plans, quotas))) {
        slot_count total;
        slot_count largest;
        for (const auto& [domain, slots] : capacity[place]) {
            total += slots;
            largest = std::max(largest, slots);
        }
        const auto left = total - largest;
        if (promised_slots > left) {
            faults.push_back("quotas for region " + place.first.str() + ", service " + place.second.str() +
                             ": customers may use " + std::to_string(promised_slots.value()) +
                             " slots, but " + std::to_string(left.value()) +
                             " remain when one failure domain is lost");
        }
    }
    return faults;
}

std::vector<std::string> unknown_names(const lists::plans_list& plans, const lists::quotas_list& quotas,
                                       const lists::instances_list& instances)
{
    std::set<region_id> regions;
    std::set<service_id> services;
    for (const auto& upstream : instances.upstreams) {
        regions.insert(upstream.region);
        services.insert(upstream.service);
    }
    std::vector<std::string> faults;
    for (std::size_t i = 0; i < quotas.quotas.size(); ++i) {
        const auto& quota = quotas.quotas[i];
        const auto place = "quotas.quotas[" + std::to_string(i) + "]";
        if (std::find(plans.plans.begin(), plans.plans.end(), quota.plan) == plans.plans.end()) {
            faults.push_back(place + ".plan: unknown plan '" + quota.plan.str() + "'");
        }
        if (!regions.contains(quota.region)) {
            faults.push_back(place + ".region: unknown region '" + quota.region.str() + "'");
        }
        if (!services.contains(quota.service)) {
            faults.push_back(place + ".service: unknown service '" + quota.service.str() + "'");
        }
    }
    return faults;
}
} // namespace buckthornhill::drain
