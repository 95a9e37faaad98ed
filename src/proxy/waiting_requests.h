#pragma once

#include <compare>
#include <set>
#include <utility>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::proxy {
struct waiting_rank
{
    int account_priority = 0;
    int route_priority = 0;
    time_point arrived_at{};

    friend auto operator<=>(const waiting_rank&, const waiting_rank&) = default;
};

//! Requests that wait for room, in the order in which they are dispatched: by the priority of the account, by
//! that of the route, then by arrival.
class waiting_requests
{
public:
    void add(const waiting_rank& rank, flow_id flow) { this->ordered.emplace(rank, flow); }
    void remove(const waiting_rank& rank, flow_id flow) { this->ordered.erase({rank, flow}); }
    std::size_t size() const { return this->ordered.size(); }

    std::vector<flow_id> in_order() const
    {
        std::vector<flow_id> flows;
        flows.reserve(this->ordered.size());
        for (const auto& [rank, flow] : this->ordered) {
            flows.push_back(flow);
        }
        return flows;
    }

private:
    std::set<std::pair<waiting_rank, flow_id>> ordered;
};
} // namespace buckthornhill::proxy
