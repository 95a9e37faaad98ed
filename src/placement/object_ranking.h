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
    //! All usable upstreams of `service`, the object's first choice first. Valid until the roster changes.
    const std::vector<upstream_id>& order(const fleet::upstream_roster& roster, const service_id& service,
                                          object_hash object);

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
