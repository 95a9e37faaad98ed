#pragma once

#include <unordered_map>
#include <vector>

#include "placement/object_plan_types.h"

namespace buckthornhill::placement {
//! Counts the requests of one instance for each object between two reports to the planner.
class object_demand_counter
{
public:
    //! Nothing is counted before.
    void enable() { this->counts = true; }
    bool is_enabled() const { return this->counts; }
    void record(const object_key& key, duration work, bool is_planned);
    //! Whether an object that is not planned was asked for since the last call of `take`.
    bool has_unplanned() const { return this->seen_unplanned; }
    std::vector<object_demand> take();

private:
    std::unordered_map<object_key, object_demand, object_key_hash> since_report;
    bool counts = false;
    bool seen_unplanned = false;
};
} // namespace buckthornhill::placement
