#include "quota/usage_tracker.h"

#include "global/error.h"

namespace buckthornhill::quota {
namespace {
constexpr std::chrono::seconds peer_usage_lifetime{3};
}

std::string_view to_string(request_class value)
{
    switch (value) {
    case request_class::within_quota:
        return "within-quota";
    case request_class::above_quota:
        return "above-quota";
    case request_class::no_plan:
        return "no-plan";
    }
    throw error("unknown request class");
}

request_class parse_request_class(std::string_view text)
{
    if (text == "within-quota") {
        return request_class::within_quota;
    }
    if (text == "above-quota") {
        return request_class::above_quota;
    }
    return request_class::no_plan;
}

usage_tracker::usage_tracker(region_id own_region)
    : region(std::move(own_region))
{
}

void usage_tracker::set_lists(const lists::plans_list& plans, const lists::quotas_list& quotas)
{
    this->plan_of.clear();
    for (const auto& customer : plans.customers) {
        this->plan_of.emplace(customer.name, customer.plan);
    }
    this->quota_of.clear();
    for (const auto& quota : quotas.quotas) {
        if (quota.region == this->region) {
            this->quota_of.emplace(std::pair(quota.plan, quota.service), quota.slots);
        }
    }
}

request_class usage_tracker::classify(time_point now, const customer_id& customer,
                                      const service_id& service) const
{
    const auto plan = this->plan_of.find(customer);
    if (plan == this->plan_of.end()) {
        return request_class::no_plan;
    }
    const auto quota = this->quota_of.find({plan->second, service});
    if (quota == this->quota_of.end()) {
        return request_class::above_quota;
    }
    const usage_key key{customer, service};
    const auto own_usage_entry = this->own_in_flight.find(key);
    const auto own_count =
        own_usage_entry == this->own_in_flight.end() ? slot_count{} : own_usage_entry->second;
    const auto in_flight = own_count + this->peers_in_flight(now, key);
    return in_flight < quota->second ? request_class::within_quota : request_class::above_quota;
}

slot_count usage_tracker::peers_in_flight(time_point now, const usage_key& key) const
{
    slot_count sum;
    for (const auto& [peer, usage] : this->peers) {
        const auto found = usage.in_flight.find(key);
        if (found != usage.in_flight.end() && now - usage.reported_at <= peer_usage_lifetime) {
            sum += found->second;
        }
    }
    return sum;
}

void usage_tracker::on_start(const customer_id& customer, const service_id& service)
{
    if (this->is_on_plan(customer)) {
        ++this->own_in_flight[{customer, service}];
    }
}

void usage_tracker::on_finish(const customer_id& customer, const service_id& service)
{
    const auto found = this->own_in_flight.find({customer, service});
    if (found == this->own_in_flight.end()) {
        return;
    }
    --found->second;
    if (found->second <= slot_count{}) {
        this->own_in_flight.erase(found);
    }
}

void usage_tracker::on_peer_usage(time_point now, const instance_id& peer,
                                  const std::vector<usage_record>& usage)
{
    auto& report = this->peers[peer];
    report.reported_at = now;
    report.in_flight.clear();
    for (const auto& record : usage) {
        report.in_flight[{record.customer, record.service}] = record.in_flight;
    }
}

std::vector<usage_record> usage_tracker::own_usage() const
{
    std::vector<usage_record> usage;
    usage.reserve(this->own_in_flight.size());
    for (const auto& [key, in_flight] : this->own_in_flight) {
        usage.push_back({key.first, key.second, in_flight});
    }
    return usage;
}
} // namespace buckthornhill::quota
