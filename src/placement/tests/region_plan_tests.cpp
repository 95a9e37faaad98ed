#include <catch2/catch.hpp>

#include "placement/upstream_picker.h"
#include "placement_fixtures.h"

using namespace buckthornhill;
using namespace buckthornhill::placement;

namespace {
const place north{region_id("r1"), domain_id("d1")};
const place centre{region_id("r2"), domain_id("d2")};
const place south{region_id("r3"), domain_id("d3")};

//! A pool of 22 upstreams of which the second region has only two.
fleet::upstream_roster make_uneven_roster()
{
    fleet::upstream_roster roster;
    for (int i = 0; i < 22; ++i) {
        roster.upsert(time_point{}, make_entry(i, 5, i < 10 ? north : i < 12 ? centre : south));
    }
    return roster;
}

//! Entry instances, as many in each of the three regions.
std::vector<known_instance> make_even_instances()
{
    std::vector<known_instance> known;
    for (int i = 0; i < 9; ++i) {
        const auto& where = i < 3 ? north : i < 6 ? centre : south;
        known.push_back({instance_id("i" + std::to_string(i)), where.region});
    }
    return known;
}

//! Objects of 1,000 that an instance at `where` places in each region.
std::map<region_id, int> count_by_region(const fleet::upstream_roster& roster, const place& where)
{
    upstream_picker picker(instance_id("i0"), where, {});
    picker.set_instances(time_point{}, make_even_instances());
    std::map<region_id, int> counts;
    for (std::uint64_t object = 0; object < 1000; ++object) {
        const auto choice = picker.pick(time_point{}, roster, request_for(object));
        ++counts[roster.find_usable(choice.upstream)->entry.where.region];
    }
    return counts;
}
} // namespace

TEST_CASE(
    "[GIVEN] callers in all regions [WHEN] a region has slots enough [THEN] most of its objects stay there",
    "[placement][pattern: objects that are asked for from one region, one region short of slots]")
{
    const auto roster = make_uneven_roster();
    for (const auto& where : {north, south}) {
        const auto counts = count_by_region(roster, where);
        CHECK(counts.at(where.region) > 650);
        CHECK(counts.at(where.region) < 800);
    }
}

TEST_CASE("[GIVEN] callers in all regions [WHEN] objects are placed [THEN] no region gets much more than its "
          "slots bear",
          "[placement][pattern: objects that are asked for from one region, one region short of slots]")
{
    const auto roster = make_uneven_roster();
    std::map<region_id, int> totals;
    for (const auto& where : {north, centre, south}) {
        for (const auto& [region, count] : count_by_region(roster, where)) {
            totals[region] += count;
        }
    }
    constexpr double objects_per_upstream = 3000.0 / 22;
    CHECK(totals.at(north.region) < 10 * objects_per_upstream * 1.2);
    CHECK(totals.at(centre.region) < 2 * objects_per_upstream * 1.5);
    CHECK(totals.at(south.region) < 10 * objects_per_upstream * 1.2);
    SECTION("and the region that is short of slots uses those of both others")
    {
        const auto counts = count_by_region(roster, centre);
        CHECK(counts.at(north.region) > 300);
        CHECK(counts.at(south.region) > 300);
    }
}

TEST_CASE("[GIVEN] a plan of the regions [WHEN] an instance restarts [THEN] no object moves",
          "[placement][pattern: machines are stopped in turn under load]")
{
    const auto roster = make_uneven_roster();
    const auto all = make_even_instances();
    const std::vector<known_instance> without_last(all.begin(), all.end() - 1);
    upstream_picker picker(instance_id("i0"), centre, {});
    picker.set_instances(time_point{}, all);
    std::map<std::uint64_t, upstream_id> before;
    for (std::uint64_t object = 0; object < 300; ++object) {
        before[object] = picker.pick(time_point{}, roster, request_for(object)).upstream;
    }
    const time_point later = time_point{} + std::chrono::seconds(5);
    picker.set_instances(later, without_last);
    for (const auto& [object, upstream] : before) {
        CHECK(picker.pick(later, roster, request_for(object)).upstream == upstream);
    }
}

TEST_CASE("[GIVEN] a region without upstreams [WHEN] objects are placed [THEN] other regions get them",
          "[placement][pattern: a region loses its upstreams]")
{
    auto roster = make_uneven_roster();
    roster.set_evacuated({centre.domain});
    const auto counts = count_by_region(roster, centre);
    CHECK(counts.at(north.region) > 400);
    CHECK(counts.at(south.region) > 400);
}

TEST_CASE("[GIVEN] a plan of the regions [WHEN] an upstream registers again elsewhere [THEN] it stays in use",
          "[placement][pattern: upstreams come back under their id in another region]")
{
    auto roster = make_uneven_roster();
    upstream_picker picker(instance_id("i0"), north, {});
    picker.set_instances(time_point{}, make_even_instances());
    REQUIRE_FALSE(picker.pick(time_point{}, roster, request_for(0)).upstream.empty());
    for (int i = 0; i < 22; ++i) {
        roster.upsert(time_point{}, make_entry(i, 5, {region_id("r4"), domain_id("d4")}));
    }
    for (std::uint64_t object = 1; object < 100; ++object) {
        CHECK_FALSE(picker.pick(time_point{}, roster, request_for(object)).upstream.empty());
    }
}
