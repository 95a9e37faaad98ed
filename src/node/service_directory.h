#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "ownership/ownership_types.h"

namespace buckthornhill::node {
//! Upstreams by service and by id, from the instance list that is currently in force.
class service_directory
{
public:
    void rebuild(const std::vector<ownership::upstream_description>& upstreams);

    const ownership::upstream_description* find(const upstream_id& id) const;
    //! The upstream of the service in `region` that a target with this hash prefers; null when there is none.
    const ownership::upstream_description* preferred(const service_id& service, const region_id& region,
                                                     std::uint64_t affinity) const;
    bool has_service(const service_id& service) const { return this->by_service.contains(service); }
    const std::map<service_id, std::vector<upstream_id>>& services() const { return this->by_service; }

private:
    std::unordered_map<upstream_id, ownership::upstream_description> by_id;
    std::map<service_id, std::vector<upstream_id>> by_service;
    std::map<std::pair<service_id, region_id>, std::vector<std::pair<upstream_id, std::uint64_t>>>
        by_service_and_region; //!< each upstream id with its hash
};
} // namespace buckthornhill::node
