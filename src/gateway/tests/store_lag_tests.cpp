#include <catch2/catch.hpp>

#include "gateway/store_lag.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;
using store::collection;

namespace {
const time_point start{std::chrono::seconds(100)};

//! One instance's knowledge of the upstreams' collection.
struct lag_fixture
{
    std::vector<store_lag::due_fetch> due(milliseconds after)
    {
        return this->lag.due(
            start + after, [this](collection) { return this->known; },
            [this](collection) { return this->has_store; });
    }

    store_lag lag{milliseconds(900)};
    object_version known{10};
    bool has_store = true;
};
} // namespace

TEST_CASE("[GIVEN] a store that answers [WHEN] a peer is a moment ahead [THEN] its collection is not fetched",
          "[gateway][pattern: many upstreams change on a large fleet]")
{
    lag_fixture world;
    world.lag.note(start, collection::upstreams, object_version(11), "peer");
    CHECK(world.due(milliseconds(0)).empty());
    CHECK(world.due(milliseconds(400)).empty());
    world.known = object_version(12);
    CHECK(world.due(milliseconds(5000)).empty());
}

TEST_CASE("[GIVEN] a waiting call that went silent [WHEN] a peer stays ahead [THEN] the peer is asked",
          "[gateway][pattern: channels go silent]")
{
    lag_fixture world;
    world.lag.note(start, collection::upstreams, object_version(11), "peer");
    world.lag.note(start + milliseconds(800), collection::upstreams, object_version(15), "other");
    const auto fetches = world.due(milliseconds(900));
    REQUIRE(fetches.size() == 1);
    CHECK(fetches[0].has_store);
    CHECK(fetches[0].peer_address == "peer");
    CHECK(world.due(milliseconds(1000)).empty());
    CHECK(world.due(milliseconds(1800)).size() == 1);
}

TEST_CASE("[GIVEN] a store that turns this instance away [WHEN] a peer knows more [THEN] it is asked at once",
          "[gateway][pattern: the store refuses some machines]")
{
    lag_fixture world;
    world.has_store = false;
    world.lag.note(start, collection::upstreams, object_version(11), "peer");
    CHECK(world.due(milliseconds(0)).size() == 1);
    CHECK(world.due(milliseconds(100)).empty());
    CHECK(world.due(milliseconds(900)).size() == 1);
    world.known = object_version(11);
    CHECK(world.due(milliseconds(2000)).empty());
}
