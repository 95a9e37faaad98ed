#include "placement/planner_selection.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "global/hash.h"

namespace buckthornhill::placement {
instance_id planner_of(const region_id& region, const std::vector<instance_id>& live)
{
    const auto key = hash_text(region.str());
    std::pair<std::uint64_t, instance_id> best;
    for (const auto& id : live) {
        best = std::max(best, {rendezvous_weight(hash_text(id.str()), key), id});
    }
    return best.second;
}
} // namespace buckthornhill::placement
