#include <random>

#include <catch2/catch.hpp>

#include "fleet/upstream_roster.h"

using namespace buckthornhill;
using namespace buckthornhill::fleet;
using std::chrono::milliseconds;

namespace {
const service_id orders("orders");

upstream_entry make_entry(const std::string& id, std::uint64_t started_at_ms = 1)
{
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.started_at_ms = started_at_ms;
    entry.service = orders;
    entry.address = "10.0.0.1:80";
    entry.where = {region_id("r"), domain_id("d")};
    entry.slots = slot_count(3);
    return entry;
}

upstream_entry leaving(upstream_entry entry)
{
    entry.is_leaving = true;
    return entry;
}
} // namespace

TEST_CASE("[GIVEN] an upstream seen leaving [WHEN] an old update calls it ready [THEN] that run stays unused",
          "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    roster.upsert(now, make_entry("u1", 7));
    CHECK(roster.usable(orders).size() == 1);

    roster.upsert(now, leaving(make_entry("u1", 7)));
    roster.upsert(now, make_entry("u1", 7));
    CHECK(roster.usable(orders).empty());

    roster.remove(now, upstream_id("u1"));
    roster.upsert(now, make_entry("u1", 7));
    CHECK(roster.usable(orders).empty());

    roster.upsert(now, make_entry("u1", 8));
    CHECK(roster.usable(orders).size() == 1);
}

TEST_CASE(
    "[GIVEN] a store back from an outage [WHEN] an entry is missing [THEN] it is used for the grace period",
    "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    const auto deadline = now + milliseconds(1900);
    roster.replace_all(now, {make_entry("u1"), make_entry("u2")});

    roster.replace_all(now, {make_entry("u2")}, deadline);
    CHECK(roster.usable(orders).size() == 2);

    SECTION("it comes back")
    {
        roster.upsert(now + milliseconds(1000), make_entry("u1"));
        roster.on_tick(now + milliseconds(5000));
        CHECK(roster.usable(orders).size() == 2);
    }
    SECTION("it stays missing")
    {
        roster.replace_all(now + milliseconds(1500), {make_entry("u2")}, deadline + milliseconds(1500));
        roster.on_confirmed(now + milliseconds(1500));
        roster.on_tick(now + milliseconds(1899));
        CHECK(roster.usable(orders).size() == 2);
        roster.on_tick(now + milliseconds(1900));
        CHECK(roster.usable(orders).size() == 1);
    }
    SECTION("a list that has no doubts lacks it too")
    {
        roster.replace_all(now + milliseconds(1500), {make_entry("u2")});
        roster.on_confirmed(now + milliseconds(1500));
        CHECK(roster.usable(orders).size() == 2);
        roster.on_tick(now + milliseconds(1900));
        CHECK(roster.usable(orders).size() == 1);
    }
    SECTION("an instance that was in contact knows that it was removed")
    {
        roster.remove(now + milliseconds(500), upstream_id("u1"));
        CHECK(roster.usable(orders).size() == 1);
    }
    SECTION("contact is lost and regained, and the removal is heard once more")
    {
        roster.remove(now + milliseconds(1000), upstream_id("u1"), deadline + milliseconds(1000));
        roster.on_confirmed(now + milliseconds(1000));
        roster.on_tick(now + milliseconds(1900));
        CHECK(roster.usable(orders).size() == 1);
    }
}

//! Guards against upstreams that are dropped in the second of two outages, in which they cannot register.
TEST_CASE(
    "[GIVEN] an entry that is missing after an outage [WHEN] contact is lost again [THEN] it is used until "
    "contact is back, and as long afterwards",
    "[fleet][pattern: outages of the store in quick succession]")
{
    upstream_roster roster;
    const time_point now{};
    const auto deadline = now + milliseconds(1900);
    roster.replace_all(now, {make_entry("u1"), make_entry("u2")});
    roster.remove(now, upstream_id("u1"), deadline);
    roster.on_store_lost();
    roster.on_tick(now + milliseconds(5000));
    CHECK(roster.usable(orders).size() == 2);
    SECTION("an outage in which registrations cannot be renewed")
    {
        roster.on_store_contact(now + milliseconds(7000));
        roster.on_confirmed(now + milliseconds(6500));
        roster.on_tick(now + milliseconds(6999));
        CHECK(roster.usable(orders).size() == 2);
        roster.on_tick(now + milliseconds(7000));
        CHECK(roster.usable(orders).size() == 1);
    }
    SECTION("a single call that failed")
    {
        roster.on_store_contact(std::nullopt);
        roster.on_confirmed(now + milliseconds(5000));
        roster.on_tick(now + milliseconds(5000));
        CHECK(roster.usable(orders).size() == 1);
    }
}

//! Guards against upstreams that are dropped while the store is silent again and this instance has not
//! noticed.
TEST_CASE(
    "[GIVEN] an entry that is missing after an outage [WHEN] its time ends [THEN] it is removed once the "
    "store has confirmed the list at that time",
    "[fleet][pattern: outages of the store in quick succession]")
{
    upstream_roster roster;
    const time_point now{std::chrono::hours(1)};
    const auto deadline = now + milliseconds(1900);
    roster.replace_all(now, {make_entry("u1"), make_entry("u2")});
    roster.remove(now, upstream_id("u1"), deadline);
    roster.on_confirmed(now);
    CHECK_FALSE(roster.takes_check(now + milliseconds(1600)));
    CHECK(roster.takes_check(now + milliseconds(1720)));
    CHECK_FALSE(roster.takes_check(now + milliseconds(1740)));
    roster.on_tick(deadline + milliseconds(500));
    CHECK(roster.usable(orders).size() == 2);
    SECTION("the store answers")
    {
        roster.on_confirmed(deadline + milliseconds(520));
        roster.on_tick(deadline + milliseconds(520));
        CHECK(roster.usable(orders).size() == 1);
    }
    SECTION("the store was away once more")
    {
        roster.on_store_lost();
        roster.on_store_contact(deadline + milliseconds(4000));
        roster.on_confirmed(deadline + milliseconds(2100));
        roster.on_tick(deadline + milliseconds(2100));
        CHECK(roster.usable(orders).size() == 2);
        CHECK(roster.takes_check(deadline + milliseconds(3900)));
    }
    SECTION("the entry is back")
    {
        roster.upsert(deadline + milliseconds(100), make_entry("u1"));
        roster.on_confirmed(deadline + milliseconds(520));
        roster.on_tick(deadline + milliseconds(520));
        CHECK(roster.usable(orders).size() == 2);
    }
}

//! Guards against a grace period that begins when a removal is heard.
TEST_CASE("[GIVEN] a store back from an outage [WHEN] an entry is removed late in the grace period [THEN] it "
          "is used until the end of that period",
          "[fleet][pattern: upstreams leave after an outage of the store]")
{
    upstream_roster roster;
    const time_point now{};
    const auto deadline = now + milliseconds(1900);
    roster.replace_all(now, {make_entry("u1"), make_entry("u2")});
    roster.remove(now + milliseconds(1600), upstream_id("u1"), deadline);
    roster.on_confirmed(now + milliseconds(1600));
    roster.on_tick(now + milliseconds(1899));
    CHECK(roster.usable(orders).size() == 2);
    roster.on_tick(deadline);
    CHECK(roster.usable(orders).size() == 1);
    roster.remove(deadline, upstream_id("u2"), deadline);
    CHECK(roster.usable(orders).empty());
}

TEST_CASE("[GIVEN] no store outage [WHEN] an entry is removed [THEN] it is unused at once", "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    roster.replace_all(now, {make_entry("u1")});
    const auto epoch = roster.epoch();
    roster.remove(now, upstream_id("u1"));
    CHECK(roster.usable(orders).empty());
    CHECK(roster.epoch() > epoch);
}

TEST_CASE(
    "[GIVEN] an evacuated failure domain [WHEN] the evacuation ends [THEN] its upstreams are used again",
    "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    roster.upsert(now, make_entry("u1"));
    roster.set_evacuated({domain_id("d")});
    CHECK(roster.find_usable(upstream_id("u1")) == nullptr);
    roster.set_evacuated({});
    CHECK(roster.find_usable(upstream_id("u1")) != nullptr);
}

TEST_CASE("[GIVEN] an address that answered as another upstream [WHEN] it registers again [THEN] it is used",
          "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    roster.upsert(now, make_entry("u1", 1));
    roster.on_misdirected(upstream_id("u1"));
    CHECK(roster.usable(orders).empty());
    roster.upsert(now, make_entry("u1", 1));
    CHECK(roster.usable(orders).empty());
    roster.upsert(now, make_entry("u1", 2));
    CHECK(roster.usable(orders).size() == 1);
}

TEST_CASE("[GIVEN] a cold upstream [WHEN] its cold period has passed [THEN] it is warm", "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    auto entry = make_entry("u1");
    entry.cold_left = milliseconds(3000);
    roster.upsert(now, entry);
    CHECK(roster.is_cold(now + milliseconds(2999), upstream_id("u1")));
    CHECK_FALSE(roster.is_cold(now + milliseconds(3000), upstream_id("u1")));
}

TEST_CASE(
    "[GIVEN] single updates of upstreams [WHEN] the whole list is read [THEN] both lead to the same view",
    "[fleet][pattern: a thousand upstreams register]")
{
    std::mt19937_64 random(7);
    const time_point now{};
    upstream_roster incremental;
    std::map<std::string, upstream_entry> present;
    for (int i = 0; i < 3000; ++i) {
        auto entry = make_entry("u" + std::to_string(random() % 60), 1 + random() % 3);
        entry.service = service_id(random() % 2 == 0 ? "orders" : "stock");
        entry.where.domain = domain_id(random() % 2 == 0 ? "d" : "e");
        const auto epoch = incremental.epoch();
        const auto before = incremental.usable(entry.service);
        switch (random() % 4) {
        case 0:
            incremental.remove(now, entry.id);
            present.erase(entry.id.str());
            break;
        case 1:
            incremental.set_evacuated(random() % 2 == 0 ? std::set{domain_id("e")} : std::set<domain_id>{});
            break;
        default:
            incremental.upsert(now, entry);
            present[entry.id.str()] = entry;
        }
        CHECK((incremental.epoch() != epoch || incremental.usable(entry.service) == before));
    }
    incremental.set_evacuated({domain_id("e")});
    upstream_roster replaced;
    replaced.set_evacuated({domain_id("e")});
    std::vector<upstream_entry> entries;
    entries.reserve(present.size());
    for (const auto& [id, entry] : present) {
        entries.push_back(entry);
    }
    replaced.replace_all(now, entries);
    for (const auto* service : {"orders", "stock"}) {
        CHECK(incremental.usable(service_id(service)) == replaced.usable(service_id(service)));
    }
}

//! Guards against an upstream that says it leaves during an evacuation and is used again when that ends.
TEST_CASE(
    "[GIVEN] an upstream in an evacuated domain [WHEN] it says that it leaves and the evacuation ends [THEN] "
    "it stays unused",
    "[fleet][pattern: upstreams leave while the store is silent]")
{
    upstream_roster roster;
    const auto entry = make_entry("u1");
    roster.upsert(time_point{}, entry);
    roster.set_evacuated({entry.where.domain});
    CHECK(roster.on_leaving(entry.id));
    CHECK_FALSE(roster.on_leaving(entry.id));
    roster.set_evacuated({});
    CHECK(roster.find_usable(entry.id) == nullptr);
}

TEST_CASE(
    "[GIVEN] a run that a later one replaced at its address [WHEN] it is looked for [THEN] the later run is "
    "found, and an earlier one is not",
    "[fleet]")
{
    upstream_roster roster;
    const time_point now{};
    const auto first = make_entry("u1", 7);
    roster.upsert(now, first);
    CHECK_FALSE(roster.has_other_run_at(first.address, first.run()));
    const auto second = make_entry("u2", 9);
    roster.upsert(now, second);
    CHECK(roster.has_other_run_at(first.address, first.run()));
    CHECK_FALSE(roster.has_other_run_at(first.address, second.run()));
    CHECK_FALSE(roster.has_other_run_at("10.0.0.2:80", first.run()));
}

TEST_CASE("[GIVEN] a run that started again under the same id [WHEN] it is looked for [THEN] the later run "
          "is found",
          "[fleet]")
{
    upstream_roster roster;
    const auto first = make_entry("u1", 7);
    roster.upsert(time_point{}, make_entry("u1", 9));
    CHECK(roster.has_other_run_at(first.address, first.run()));
}
