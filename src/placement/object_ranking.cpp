#include "placement/object_ranking.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "global/hash.h"

namespace buckthornhill::placement {
namespace {
//! When this many objects are cached, the cache is cleared and their rankings are computed again.
constexpr std::size_t max_cached_rankings = 2048;
constexpr int mantissa_bits = 53;

//! Maps the upper bits of a hash to a number in (0, 1).
double unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> (64 - mantissa_bits)) + 0.5) /
           static_cast<double>(1ULL << mantissa_bits);
}

//! The `count` top-ranked upstreams for the object.
std::vector<upstream_id> rank(const fleet::upstream_roster& roster, region_plan& plan,
                              const service_id& service, object_hash object, std::size_t count)
{
    const auto& usable = roster.usable(service);
    const auto& slot_weights = plan.slot_weights(roster, service);
    std::vector<std::pair<double, const upstream_id*>> scored;
    scored.reserve(usable.size());
    for (const auto& id : usable) {
        const auto& entry = roster.find_usable(id)->entry;
        const auto slots = static_cast<double>(std::max<std::int64_t>(1, entry.slots.value()));
        //! NOTE An upstream that registers again may have moved to a region that the weights do not have yet.
        const auto found = slot_weights.find(entry.where.region);
        const double slot_weight = found == slot_weights.end() ? 1 : found->second;
        const auto weight = rendezvous_weight(hash_text(id.str()), object.value());
        scored.emplace_back(std::log(unit_interval(weight)) / (slots * slot_weight), &id);
    }
    const auto ranked_end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), ranked_end, scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second > *b.second;
    });
    std::vector<upstream_id> first;
    first.reserve(std::min(count, scored.size()));
    std::transform(scored.begin(), ranked_end, std::back_inserter(first),
                   [](const auto& item) { return *item.second; });
    return first;
}
} // namespace

std::size_t object_ranking::key_hash::operator()(const key& value) const noexcept
{
    return hash_text(value.service.str(), value.object.value());
}

const std::vector<upstream_id>& object_ranking::top_ranked(const fleet::upstream_roster& roster,
                                                           region_plan& plan, const service_id& service,
                                                           object_hash object)
{
    const bool is_outdated = this->roster_epoch != roster.epoch() || this->plan_epoch != plan.epoch();
    if (is_outdated || this->cached.size() >= max_cached_rankings) {
        this->cached.clear();
        this->roster_epoch = roster.epoch();
        this->plan_epoch = plan.epoch();
    }
    const auto [position, is_new] = this->cached.try_emplace(key{service, object});
    if (is_new) {
        position->second = rank(roster, plan, service, object, max_top_ranked);
    }
    return position->second;
}

std::vector<upstream_id> object_ranking::full_ranking(const fleet::upstream_roster& roster, region_plan& plan,
                                                      const service_id& service, object_hash object)
{
    return rank(roster, plan, service, object, roster.usable(service).size());
}
} // namespace buckthornhill::placement
