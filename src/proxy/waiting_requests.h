#pragma once

#include <set>
#include <tuple>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::proxy {
//! Requests that wait for room, in the order in which they are dispatched: by priority, then by arrival.
class waiting_requests
{
public:
    void add(int priority, time_point arrived_at, flow_id flow)
    {
        this->ordered.emplace(priority, arrived_at, flow);
    }
    void remove(int priority, time_point arrived_at, flow_id flow)
    {
        this->ordered.erase({priority, arrived_at, flow});
    }
    std::size_t size() const { return this->ordered.size(); }

    std::vector<flow_id> in_order() const
    {
        std::vector<flow_id> flows;
        flows.reserve(this->ordered.size());
        for (const auto& [priority, arrived_at, flow] : this->ordered) {
            flows.push_back(flow);
        }
        return flows;
    }

private:
    std::set<std::tuple<int, time_point, flow_id>> ordered;
};
} // namespace buckthornhill::proxy
