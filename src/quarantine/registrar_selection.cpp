#include "quarantine/registrar_selection.h"

#include <algorithm>
#include <map>

#include "global/hash.h"

namespace buckthornhill::quarantine {
std::vector<instance_id> registrars_of(fingerprint request_fingerprint, const domain_id& domain,
                                       const std::vector<candidate_registrar>& candidates)
{
    using ranked = std::pair<std::uint64_t, instance_id>;
    std::map<region_id, ranked> best_of_region;
    ranked best_of_domain;
    for (const auto& candidate : candidates) {
        const ranked rank{rendezvous_weight(hash_text(candidate.id.str()), request_fingerprint.high_bits()),
                          candidate.id};
        auto& best = best_of_region[candidate.where.region];
        best = std::max(best, rank);
        if (candidate.where.domain == domain) {
            best_of_domain = std::max(best_of_domain, rank);
        }
    }
    std::vector<ranked> chosen;
    chosen.reserve(best_of_region.size() + 1);
    for (const auto& [region, best] : best_of_region) {
        chosen.push_back(best);
    }
    std::ranges::sort(chosen, std::greater<>{});
    if (!best_of_domain.second.empty() && std::ranges::find(chosen, best_of_domain) == chosen.end()) {
        chosen.push_back(best_of_domain);
    }
    std::vector<instance_id> ids;
    ids.reserve(chosen.size());
    for (auto& [weight, id] : chosen) {
        ids.push_back(std::move(id));
    }
    return ids;
}
} // namespace buckthornhill::quarantine
