#include "ownership/owner_map.h"

#include <compare>

#include "global/hash.h"

namespace buckthornhill::ownership {
namespace {
enum class nearness { other_region, same_region, same_domain };

nearness nearness_of(const upstream_description& upstream, const membership::member_description& member)
{
    if (member.domain == upstream.domain) {
        return nearness::same_domain;
    }
    return member.region == upstream.region ? nearness::same_region : nearness::other_region;
}
} // namespace

instance_id choose_owner(const upstream_description& upstream,
                         const std::vector<membership::member_description>& members)
{
    const membership::member_description* best = nullptr;
    auto best_nearness = nearness::other_region;
    std::uint64_t best_weight = 0;
    const auto seed = hash_text(upstream.id.str());
    for (const auto& member : members) {
        const auto member_nearness = nearness_of(upstream, member);
        if (best != nullptr && member_nearness < best_nearness) {
            continue;
        }
        const auto weight = hash_text(member.id.str(), seed);
        const bool is_better = best == nullptr || member_nearness > best_nearness || weight > best_weight ||
                               (weight == best_weight && member.id < best->id);
        if (is_better) {
            best = &member;
            best_nearness = member_nearness;
            best_weight = weight;
        }
    }
    return best == nullptr ? instance_id{} : best->id;
}

void owner_map::rebuild(const std::vector<membership::member_description>& members,
                        const std::vector<upstream_description>& upstreams)
{
    this->owners.clear();
    for (const auto& upstream : upstreams) {
        this->owners.emplace(upstream.id, choose_owner(upstream, members));
    }
}

const instance_id& owner_map::owner_of(const upstream_id& upstream) const
{
    static const instance_id none;
    const auto found = this->owners.find(upstream);
    return found == this->owners.end() ? none : found->second;
}

std::vector<upstream_id> owner_map::owned_by(const instance_id& member) const
{
    std::vector<upstream_id> owned;
    for (const auto& [upstream, owner] : this->owners) {
        if (owner == member) {
            owned.push_back(upstream);
        }
    }
    return owned;
}
} // namespace buckthornhill::ownership
