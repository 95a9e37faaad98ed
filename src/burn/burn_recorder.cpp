#include "burn/burn_recorder.h"

#include <set>

namespace buckthornhill::burn {
namespace {
//! Service names come from callers' paths, so their number is bounded.
constexpr std::size_t max_rings = 128;

std::int64_t minute_of(time_point now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}
} // namespace

double burn_rate(const burn_counts& counts, double availability_objective)
{
    const auto total = counts.good + counts.bad;
    if (total == 0) {
        return 0;
    }
    const auto bad_fraction = static_cast<double>(counts.bad) / static_cast<double>(total);
    return bad_fraction / (1 - availability_objective);
}

burn_recorder::burn_recorder(const burn_objectives& objectives)
    : targets(objectives)
{
}

void burn_recorder::on_answer(time_point now, const service_id& service, customer_group group,
                              bool is_answered, duration took)
{
    const std::pair key(service, group);
    if (!this->rings.contains(key) && this->rings.size() >= max_rings) {
        return;
    }
    const auto minute = minute_of(now);
    auto& slot = this->rings[key][static_cast<std::size_t>(minute) % bucket_count];
    if (slot.minute != minute) {
        slot = {minute, {}};
    }
    const bool is_good = is_answered && took <= this->targets.latency;
    ++(is_good ? slot.counts.good : slot.counts.bad);
}

burn_counts burn_recorder::counts(time_point now, const service_id& service, customer_group group,
                                  std::chrono::minutes window) const
{
    burn_counts sum;
    const auto ring = this->rings.find({service, group});
    if (ring == this->rings.end()) {
        return sum;
    }
    const auto first = minute_of(now) - window.count();
    for (const auto& slot : ring->second) {
        if (slot.minute > first) {
            sum.good += slot.counts.good;
            sum.bad += slot.counts.bad;
        }
    }
    return sum;
}

std::vector<service_id> burn_recorder::services() const
{
    std::set<service_id> names;
    for (const auto& [key, ring] : this->rings) {
        names.insert(key.first);
    }
    return {names.begin(), names.end()};
}
} // namespace buckthornhill::burn
