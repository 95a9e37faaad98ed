#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/routing_types.h"

namespace buckthornhill::proxy {
//! Distributes the requests of a route over its services in proportion to their weights, as evenly as
//! possible (smooth weighted round-robin).
class service_rotation
{
public:
    const service_id& next(const routing::route& route)
    {
        if (route.services.size() == 1) {
            return route.services.front().service;
        }
        auto& credit = this->credits[route.name];
        double total = 0;
        const service_id* chosen = &route.services.front().service;
        for (const auto& share : route.services) {
            total += share.weight;
            credit[share.service] += share.weight;
            if (credit[share.service] > credit[*chosen]) {
                chosen = &share.service;
            }
        }
        credit[*chosen] -= total;
        return *chosen;
    }

    //! Starts the distribution again after a change of configuration.
    void reset() { this->credits.clear(); }

private:
    std::map<std::string, std::map<service_id, double>> credits;
};
} // namespace buckthornhill::proxy
