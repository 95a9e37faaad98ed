#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "lists/lists_types.h"
#include "quota/quota_types.h"

namespace buckthornhill::quota {
//! Counts the slots that customers on plans use in this region and classifies new requests accordingly.
class usage_tracker
{
public:
    explicit usage_tracker(region_id region);

    void set_lists(const lists::plans_list& plans, const lists::quotas_list& quotas);
    request_class classify(time_point now, const customer_id& customer, const service_id& service) const;
    void on_start(const customer_id& customer, const service_id& service);
    void on_finish(const customer_id& customer, const service_id& service);

    //! Stores the usage reported by another instance of the region; replaces its earlier report.
    void on_peer_usage(time_point now, const instance_id& peer, const std::vector<usage_record>& usage);
    std::vector<usage_record> own_usage() const;
    bool is_on_plan(const customer_id& customer) const { return this->plan_of.contains(customer); }

private:
    using usage_key = std::pair<customer_id, service_id>;
    struct peer_usage
    {
        time_point reported_at;
        std::map<usage_key, slot_count> in_flight;
    };

    slot_count peers_in_flight(time_point now, const usage_key& key) const;

    region_id region;
    std::unordered_map<customer_id, plan_id> plan_of;
    std::map<std::pair<plan_id, service_id>, slot_count> quota_of;
    std::map<usage_key, slot_count> own_in_flight;
    std::map<instance_id, peer_usage> peers;
};
} // namespace buckthornhill::quota
