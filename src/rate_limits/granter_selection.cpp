#include "rate_limits/granter_selection.h"

#include <algorithm>
#include <utility>

#include "global/hash.h"

namespace buckthornhill::rate_limits {
void granter_selection::set_live(const std::vector<instance_id>& live)
{
    const bool is_same = std::ranges::equal(live, this->candidates, {}, {}, &candidate::id);
    if (is_same) {
        return;
    }
    this->chosen.clear();
    this->candidates.clear();
    this->candidates.reserve(live.size());
    for (const auto& id : live) {
        this->candidates.push_back({hash_text(id.str()), id});
    }
}

bool granter_selection::is_before(const instance_id& first, const instance_id& second,
                                  const account_id& account)
{
    const auto key = hash_text(account.str());
    const auto a = rendezvous_weight(hash_text(first.str()), key);
    const auto b = rendezvous_weight(hash_text(second.str()), key);
    return a > b || (a == b && first < second);
}

const instance_id& granter_selection::granter_of(const account_id& account) const
{
    const auto [position, is_new] = this->chosen.try_emplace(account);
    if (is_new) {
        const auto key = hash_text(account.str());
        std::pair<std::uint64_t, const instance_id*> best{0, nullptr};
        for (const auto& each : this->candidates) {
            const auto weight = rendezvous_weight(each.hash, key);
            const bool is_better = best.second == nullptr || weight > best.first ||
                                   (weight == best.first && each.id < *best.second);
            if (is_better) {
                best = {weight, &each.id};
            }
        }
        position->second = best.second == nullptr ? instance_id() : *best.second;
    }
    return position->second;
}
} // namespace buckthornhill::rate_limits
