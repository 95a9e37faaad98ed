#pragma once

#include "fleet/upstream_roster.h"
#include "placement/placement_types.h"

//! Upstreams and requests of the placement tests.
namespace buckthornhill::placement {
inline const service_id orders("orders");
inline const place here{region_id("r1"), domain_id("d1")};

inline fleet::upstream_entry make_entry(int number, std::int64_t slots = 4, const place& where = here)
{
    fleet::upstream_entry entry;
    entry.id = upstream_id("u" + std::to_string(number));
    entry.started_at_ms = 1;
    entry.service = orders;
    entry.address = "10.0.0.1:80";
    entry.where = where;
    entry.slots = slot_count(slots);
    return entry;
}

inline fleet::upstream_roster make_roster(int count, std::int64_t slots = 4)
{
    fleet::upstream_roster roster;
    for (int i = 0; i < count; ++i) {
        roster.upsert(time_point{}, make_entry(i, slots));
    }
    return roster;
}

inline placement_request request_for(std::uint64_t object, int priority = 1)
{
    placement_request request;
    request.service = orders;
    request.route = "route";
    request.object = object_hash(object);
    request.has_affinity = true;
    request.priority = priority;
    request.objective = std::chrono::milliseconds(400);
    return request;
}
} // namespace buckthornhill::placement
