#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "fleet/upstream_roster.h"
#include "placement/placement_types.h"
#include "placement/region_plan.h"

namespace buckthornhill::placement {
//! Ranks the upstreams of a service for an object by weighted rendezvous hashing: every instance of a region
//! computes the same ranking, and a change of one upstream moves only the objects of that upstream.
class object_ranking
{
public:
    //! Cached upstreams per object; a search rarely needs more.
    static constexpr std::size_t max_top_ranked = 12;

    //! The top `max_top_ranked` usable upstreams of `service` for the object. Valid until the next call.
    const std::vector<upstream_id>& top_ranked(const fleet::upstream_roster& roster, region_plan& plan,
                                               const service_id& service, object_hash object);
    //! All usable upstreams of `service`, in the same order. Not cached.
    static std::vector<upstream_id> full_ranking(const fleet::upstream_roster& roster, region_plan& plan,
                                                 const service_id& service, object_hash object);

private:
    struct key
    {
        service_id service;
        object_hash object;
        friend bool operator==(const key&, const key&) = default;
    };
    struct key_hash
    {
        std::size_t operator()(const key& value) const noexcept;
    };

    std::unordered_map<key, std::vector<upstream_id>, key_hash> cached;
    std::uint64_t roster_epoch = 0;
    std::uint64_t plan_epoch = 0;
};
} // namespace buckthornhill::placement
