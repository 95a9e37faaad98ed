#include "node/service_directory.h"

#include "global/hash.h"

namespace buckthornhill::node {
void service_directory::rebuild(const std::vector<ownership::upstream_description>& upstreams)
{
    this->by_id.clear();
    this->by_service.clear();
    this->by_service_and_region.clear();
    for (const auto& upstream : upstreams) {
        this->by_id.emplace(upstream.id, upstream);
        this->by_service[upstream.service].push_back(upstream.id);
        if (!upstream.is_leaving) {
            this->by_service_and_region[{upstream.service, upstream.region}].emplace_back(
                upstream.id, hash_text(upstream.id.str()));
        }
    }
}

const ownership::upstream_description* service_directory::find(const upstream_id& id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

const ownership::upstream_description*
service_directory::preferred(const service_id& service, const region_id& region, std::uint64_t affinity) const
{
    const auto place = this->by_service_and_region.find({service, region});
    if (place == this->by_service_and_region.end()) {
        return nullptr;
    }
    const upstream_id* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& [id, id_hash] : place->second) {
        const auto weight = rendezvous_weight(id_hash, affinity);
        if (best == nullptr || weight > best_weight) {
            best = &id;
            best_weight = weight;
        }
    }
    return this->find(*best);
}
} // namespace buckthornhill::node
