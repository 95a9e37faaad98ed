#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "global/hash.h"
#include "global/ids.h"
#include "placement/placement_types.h"

//! Messages between the instance of a region that plans which upstream handles which object, and the others.
namespace buckthornhill::placement {
//! A planned object. The same object is planned for each service by itself.
struct object_key
{
    service_id service;
    object_hash object;
    friend bool operator==(const object_key&, const object_key&) = default;
};

struct object_key_hash
{
    std::size_t operator()(const object_key& key) const noexcept
    {
        return hash_text(key.service.str(), key.object.value());
    }
};

//! Requests for one object at one instance since its last report.
struct object_demand
{
    object_key key;
    std::uint64_t requests = 0;
    duration work{}; //!< that upstreams are expected to spend on them while the object is warm
};

//! Identifies a state of a plan. Versions are comparable only within one epoch of one planner.
struct plan_stamp
{
    std::uint64_t epoch = 0; //!< 0 when there is no plan
    instance_id planner;
    std::uint64_t version = 0;
    friend bool operator==(const plan_stamp&, const plan_stamp&) = default;
};

struct plan_change
{
    object_key key;
    upstream_id upstream; //!< empty when the object is no longer planned
};

struct plan_update
{
    plan_stamp stamp;
    bool is_whole = false; //!< replaces the plan; else it has the changes since an earlier version
    std::vector<plan_change> changes;
};

//! What an instance tells the planner of its region.
struct plan_report
{
    region_id region;
    plan_stamp known; //!< of the copy that the sender has
    std::vector<object_demand> demand;
    std::optional<plan_update> copy; //!< the sender's whole copy, if the planner asked for it
};

struct plan_reply
{
    bool is_planning = false;
    bool wants_copy = false; //!< the sender of the report has a plan that the planner does not know
    std::optional<plan_update> update;
};
} // namespace buckthornhill::placement
