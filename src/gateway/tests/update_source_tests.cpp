#include <algorithm>

#include <catch2/catch.hpp>

#include "gateway/update_source.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
const time_point start{std::chrono::seconds(100)};
const domain_id domain("north-a");

std::vector<instance_id> instances(std::size_t count)
{
    std::vector<instance_id> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.emplace_back("n" + std::to_string(i));
    }
    return all;
}

update_source source_of(const instance_id& self, const std::vector<instance_id>& members)
{
    update_source source(self, domain, {});
    source.set_members(members);
    return source;
}

//! An instance that is not the relay among `members`.
instance_id find_follower(const std::vector<instance_id>& members)
{
    for (const auto& candidate : members) {
        if (!source_of(candidate, members).relay().empty()) {
            return candidate;
        }
    }
    return {};
}
} // namespace

TEST_CASE("[GIVEN] many instances in a failure domain [WHEN] they choose a relay [THEN] one watches the "
          "store for all",
          "[gateway][pattern: every instance watches the store]")
{
    const auto members = instances(15);
    std::set<instance_id> relays;
    int watching = 0;
    for (const auto& self : members) {
        auto source = source_of(self, members);
        CHECK(source.watches_store());
        if (const auto relay = source.start_relay_call(start)) {
            relays.insert(*relay);
            source.on_response(start, true);
        }
        watching += source.watches_store() ? 1 : 0;
    }
    CHECK(watching == 1);
    CHECK(relays.size() == 1);
}

TEST_CASE(
    "[GIVEN] few instances in a failure domain [WHEN] they choose a relay [THEN] each watches the store",
    "[gateway]")
{
    const auto members = instances(3);
    for (const auto& self : members) {
        CHECK_FALSE(source_of(self, members).start_relay_call(start));
    }
}

TEST_CASE("[GIVEN] a relay that serves [WHEN] it is late or loses contact [THEN] the store is watched again",
          "[gateway][pattern: the relay is cut off, frozen or stopped]")
{
    const auto members = instances(9);
    const auto self = find_follower(members);
    auto source = source_of(self, members);
    REQUIRE(source.start_relay_call(start));
    CHECK_FALSE(source.start_relay_call(start));
    source.on_response(start, true);
    REQUIRE_FALSE(source.watches_store());

    SECTION("late response")
    {
        REQUIRE(source.start_relay_call(start));
        source.on_failure(start);
    }
    SECTION("no contact with the store")
    {
        REQUIRE(source.start_relay_call(start));
        source.on_response(start, false);
    }
    SECTION("pause of this process")
    {
        source.on_pause(start);
    }
    SECTION("pause of this process while a response is pending")
    {
        REQUIRE(source.start_relay_call(start));
        source.on_pause(start);
        source.on_response(start, true);
    }
    CHECK(source.watches_store());
    CHECK_FALSE(source.start_relay_call(start + milliseconds(1999)));
    CHECK(source.start_relay_call(start + milliseconds(2000)));
}

TEST_CASE("[GIVEN] a relay that serves [WHEN] it stops [THEN] the next one is called without delay",
          "[gateway]")
{
    auto members = instances(9);
    const auto self = find_follower(members);
    auto source = source_of(self, members);
    const auto relay = *source.start_relay_call(start);
    source.on_response(start, true);
    std::erase(members, relay);
    source.set_members(members);
    CHECK(source.watches_store());
    CHECK(source.relay() != relay);
}

TEST_CASE("[GIVEN] a relay that serves [WHEN] other instances join or leave [THEN] it is kept", "[gateway]")
{
    auto members = instances(9);
    const auto self = find_follower(members);
    auto source = source_of(self, members);
    const auto relay = *source.start_relay_call(start);
    source.on_response(start, true);
    for (auto& more : instances(40)) {
        if (std::ranges::find(members, more) == members.end()) {
            members.push_back(more);
            source.set_members(members);
            CHECK(source.relay() == relay);
            CHECK_FALSE(source.watches_store());
        }
    }
}

TEST_CASE("[GIVEN] an instance that others follow [WHEN] another would be the relay [THEN] it keeps watching "
          "the store",
          "[gateway]")
{
    const auto members = instances(9);
    auto source = source_of(find_follower(members), members);
    source.set_followed(true);
    CHECK_FALSE(source.start_relay_call(start));
    source.set_followed(false);
    CHECK(source.start_relay_call(start));
}

TEST_CASE(
    "[GIVEN] a starting instance [WHEN] it knows peers but is not live yet [THEN] it already follows one",
    "[gateway][pattern: instances are stopped and started in turn]")
{
    auto source = source_of(instance_id("fresh"), instances(9));
    CHECK(source.watches_store());
    REQUIRE(source.start_relay_call(start));
    source.on_response(start, true);
    CHECK_FALSE(source.watches_store());
}

TEST_CASE(
    "[GIVEN] a relay that responds [WHEN] peers are ahead for a while [THEN] its followers stay with it",
    "[gateway][pattern: a thousand upstreams register]")
{
    const auto members = instances(22);
    auto source = source_of(find_follower(members), members);
    CHECK(source.asks_store_when_behind());
    REQUIRE(source.start_relay_call(start));
    source.on_response(start, true);
    CHECK_FALSE(source.asks_store_when_behind());
    CHECK_FALSE(source.watches_store());
    CHECK(source.start_relay_call(start + milliseconds(1)));
}
