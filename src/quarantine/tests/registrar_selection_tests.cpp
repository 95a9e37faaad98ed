#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "quarantine/registrar_selection.h"

using namespace buckthornhill;
using namespace buckthornhill::quarantine;

namespace {
std::vector<candidate_registrar> instances(int count)
{
    std::vector<candidate_registrar> made;
    for (int i = 0; i < count; ++i) {
        const auto region = std::to_string(i % 3);
        made.push_back({instance_id("n" + std::to_string(i)),
                        {region_id(region), domain_id(region + "-" + std::to_string(i / 3 % 2))}});
    }
    return made;
}
} // namespace

TEST_CASE(
    "[GIVEN] instances in three regions [WHEN] registrars are chosen [THEN] one is in each region and one in "
    "the own domain, and all instances agree on the first",
    "[quarantine]")
{
    const auto all = instances(91);
    std::set<instance_id> used;
    for (std::uint64_t i = 0; i < 200; ++i) {
        const auto chosen = registrars_of(fingerprint(i), domain_id("0-1"), all);
        const auto elsewhere = registrars_of(fingerprint(i), domain_id("2-0"), all);
        CHECK(chosen.size() >= 3);
        CHECK(chosen.size() <= 4);
        CHECK(chosen.front() == elsewhere.front());
        CHECK(std::equal(chosen.begin(), chosen.begin() + 3, elsewhere.begin()));
        std::set<region_id> regions;
        bool is_domain_covered = false;
        for (const auto& id : chosen) {
            const auto& where = std::ranges::find(all, id, &candidate_registrar::id)->where;
            regions.insert(where.region);
            is_domain_covered = is_domain_covered || where.domain == domain_id("0-1");
        }
        CHECK(regions.size() == 3);
        CHECK(is_domain_covered);
        used.insert(chosen.front());
    }
    CHECK(used.size() > 60);
}

TEST_CASE(
    "[GIVEN] an instance that is gone [WHEN] registrars are chosen [THEN] only those change that it was",
    "[quarantine]")
{
    auto all = instances(30);
    const auto before = registrars_of(fingerprint(7), domain_id("0-0"), all);
    std::erase_if(all, [&](const auto& one) { return one.id == before[1]; });
    const auto after = registrars_of(fingerprint(7), domain_id("0-0"), all);
    CHECK(std::ranges::find(after, before[0]) != after.end());
    CHECK(std::ranges::find(after, before[2]) != after.end());
    CHECK(registrars_of(fingerprint(7), domain_id("0-0"), {}).empty());
}
