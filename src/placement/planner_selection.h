#pragma once

#include <vector>

#include "global/ids.h"

namespace buckthornhill::placement {
//! The instance that plans the objects of a region, by rendezvous hashing over the region's live instances:
//! an instance that joins or leaves changes the planner only if it is the planner itself. Empty when there
//! are no instances.
instance_id planner_of(const region_id& region, const std::vector<instance_id>& live);
} // namespace buckthornhill::placement
