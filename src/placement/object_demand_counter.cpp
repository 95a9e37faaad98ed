#include "placement/object_demand_counter.h"

#include <utility>

namespace buckthornhill::placement {
namespace {
//! As many as one report may have; the requests for further objects are not counted.
constexpr std::size_t max_objects = 4096;
} // namespace

void object_demand_counter::record(const object_key& key, duration work, bool is_planned)
{
    if (!this->counts) {
        return;
    }
    auto found = this->since_report.find(key);
    if (found == this->since_report.end()) {
        if (this->since_report.size() >= max_objects) {
            return;
        }
        found = this->since_report.emplace(key, object_demand{key, 0, {}}).first;
    }
    ++found->second.requests;
    found->second.work += work;
    this->seen_unplanned = this->seen_unplanned || !is_planned;
}

std::vector<object_demand> object_demand_counter::take()
{
    std::vector<object_demand> taken;
    taken.reserve(this->since_report.size());
    for (auto& [key, demand] : std::exchange(this->since_report, {})) {
        taken.push_back(std::move(demand));
    }
    this->seen_unplanned = false;
    return taken;
}
} // namespace buckthornhill::placement
