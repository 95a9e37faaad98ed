#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "fleet/upstream_roster.h"
#include "placement/placement_types.h"

namespace buckthornhill::placement {
//! Order in which the upstreams of a service are tried for an object: weighted rendezvous hashing, so that
//! every instance finds the same order and a change of one upstream moves only the objects it had.
class object_ranking
{
public:
    //! A search rarely gets further, so only so many are remembered of each object.
    static constexpr std::size_t max_top_ranked = 12;

    //! The first usable upstreams of `service` for the object, in order. Valid until the next call.
    const std::vector<upstream_id>& top_ranked(const fleet::upstream_roster& roster,
                                               const service_id& service, object_hash object);
    //! All of them, in the same order.
    static std::vector<upstream_id> full_ranking(const fleet::upstream_roster& roster,
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
    std::uint64_t epoch = 0;
};
} // namespace buckthornhill::placement
