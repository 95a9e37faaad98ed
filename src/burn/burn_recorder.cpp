#include "burn/burn_recorder.h"

#include <set>

namespace buckthornhill::burn {
namespace {
//! Service names come from callers' paths, so the number of recorded services is limited.
constexpr std::size_t max_bucket_rings = 128;

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

void burn_recorder::record_response(time_point now, const service_id& service, customer_group group,
                                    bool is_done, duration response_time)
{
    const std::pair key(service, group);
    if (!this->bucket_rings.contains(key) && this->bucket_rings.size() >= max_bucket_rings) {
        return;
    }
    const auto minute = minute_of(now);
    auto& minute_bucket = this->bucket_rings[key][static_cast<std::size_t>(minute) % bucket_count];
    if (minute_bucket.minute != minute) {
        minute_bucket = {minute, {}};
    }
    const bool is_good = is_done && response_time <= this->targets.latency;
    ++(is_good ? minute_bucket.counts.good : minute_bucket.counts.bad);
}

burn_counts burn_recorder::counts(time_point now, const service_id& service, customer_group group,
                                  std::chrono::minutes window) const
{
    burn_counts sum;
    const auto ring = this->bucket_rings.find({service, group});
    if (ring == this->bucket_rings.end()) {
        return sum;
    }
    const auto first = minute_of(now) - window.count();
    for (const auto& minute_bucket : ring->second) {
        if (minute_bucket.minute > first) {
            sum.good += minute_bucket.counts.good;
            sum.bad += minute_bucket.counts.bad;
        }
    }
    return sum;
}

std::vector<service_id> burn_recorder::services() const
{
    std::set<service_id> names;
    for (const auto& [key, ring] : this->bucket_rings) {
        names.insert(key.first);
    }
    return {names.begin(), names.end()};
}
} // namespace buckthornhill::burn
