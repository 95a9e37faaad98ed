#include <catch2/catch.hpp>

#include "store/collection_mirror.h"
#include "store/store_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::store;

namespace {
const time_point start{std::chrono::seconds(100)};

collection_version version(std::uint64_t revision)
{
    return {{}, object_version(revision)};
}

object_change changed(const std::string& name, const std::string& text, std::uint64_t version = 1)
{
    return {{name, text, object_version(version)}, false};
}

object_change removed(const std::string& name, std::uint64_t version = 1)
{
    return {{name, "", object_version(version)}, true};
}

collection_update full_update(std::uint64_t at, std::vector<object_change> changes)
{
    return {collection::upstreams, true, {}, object_version(at), std::move(changes)};
}

collection_update partial_update(std::uint64_t at, std::vector<object_change> changes)
{
    return {collection::upstreams, false, {}, object_version(at), std::move(changes)};
}
} // namespace

TEST_CASE("[GIVEN] a known collection [WHEN] an older update arrives [THEN] it is ignored", "[store]")
{
    collection_mirror mirror;
    CHECK_FALSE(mirror.is_known());
    CHECK(mirror.apply(start, full_update(10, {changed("a", "1"), changed("b", "1")})));
    CHECK(mirror.apply(start, partial_update(12, {removed("a")})));

    CHECK_FALSE(mirror.apply(start, full_update(11, {changed("a", "1"), changed("b", "1")})));
    CHECK_FALSE(mirror.apply(start, partial_update(9, {changed("a", "2")})));

    CHECK(mirror.objects().size() == 1);
    CHECK(mirror.version() == version(12));
}

TEST_CASE(
    "[GIVEN] long polls that end without changes [WHEN] versions are compared [THEN] only changes count",
    "[store]")
{
    collection_mirror mirror;
    mirror.apply(start, full_update(10, {changed("a", "1", 7)}));
    CHECK(mirror.last_change_version() == version(7));
    mirror.apply(start, partial_update(40, {}));
    CHECK(mirror.version() == version(40));
    CHECK(mirror.last_change_version() == version(7));

    mirror.apply(start, full_update(50, {changed("a", "1", 7)}));
    CHECK(mirror.last_change_version() == version(7));

    mirror.apply(start, full_update(60, {changed("a", "2", 55)}));
    CHECK(mirror.last_change_version() == version(55));

    mirror.apply(start, full_update(70, {}));
    CHECK(mirror.last_change_version() == version(70));
}

TEST_CASE("[GIVEN] two instances [WHEN] the same changes reach them in different responses [THEN] neither "
          "seems behind",
          "[store][pattern: changes in quick succession]")
{
    collection_mirror one;
    collection_mirror other;
    one.apply(start, full_update(10, {}));
    other.apply(start, full_update(10, {}));
    one.apply(start, partial_update(15, {changed("a", "1", 11)}));
    other.apply(start, partial_update(11, {changed("a", "1", 11)}));
    CHECK(one.last_change_version() <= other.version());

    one.apply(start, partial_update(21, {removed("a", 20)}));
    other.apply(start, partial_update(20, {removed("a", 20)}));
    CHECK(one.last_change_version() <= other.version());
}

TEST_CASE(
    "[GIVEN] several changes of one object in a batch [WHEN] it is applied [THEN] the last one takes effect",
    "[store]")
{
    collection_mirror mirror;
    mirror.apply(start, full_update(1, {}));
    mirror.apply(start, partial_update(5, {changed("a", "1"), removed("a"), changed("a", "3")}));
    CHECK(mirror.objects().at("a").text == "3");

    const auto snapshot = mirror.snapshot(collection::upstreams);
    CHECK(snapshot.is_snapshot);
    CHECK(snapshot.version == object_version(5));
    CHECK(snapshot.changes.size() == 1);
}

TEST_CASE("[GIVEN] names of collections [WHEN] they are parsed [THEN] an unknown one is rejected", "[store]")
{
    for (const auto which : all_collections) {
        CHECK(parse_collection(to_string(which)) == which);
    }
    CHECK_THROWS_AS(parse_collection("secrets"), store_error);
}

TEST_CASE("[GIVEN] a peer with an older state [WHEN] it asks for the changes [THEN] they bring it up to date",
          "[store]")
{
    collection_mirror ahead;
    ahead.apply(start, full_update(10, {changed("a", "1", 4), changed("b", "1", 5)}));
    collection_mirror behind = ahead;
    ahead.apply(start, partial_update(12, {changed("c", "1", 11), removed("a", 12)}));
    ahead.apply(start, partial_update(15, {changed("b", "2", 14)}));

    const auto changes = ahead.changes_since(collection::upstreams, behind.version());
    CHECK_FALSE(changes.is_snapshot);
    CHECK(changes.changes.size() == 3);
    CHECK(behind.apply(start, changes));
    CHECK(behind.version() == ahead.version());
    REQUIRE(behind.objects().size() == 2);
    CHECK(behind.objects().at("b").text == "2");
    CHECK(ahead.changes_since(collection::upstreams, version(15)).changes.empty());

    //! Removals before the first list are unknown, so a peer with an older version gets the whole
    //! collection.
    CHECK(ahead.changes_since(collection::upstreams, version(9)).is_snapshot);
    CHECK(ahead.changes_since(collection::upstreams, version(0)).is_snapshot);
}

TEST_CASE(
    "[GIVEN] a list without a known object [WHEN] a peer asks for changes [THEN] they include the removal",
    "[store]")
{
    collection_mirror mirror;
    mirror.apply(start, full_update(10, {changed("a", "1"), changed("b", "1")}));
    auto list = full_update(20, {changed("b", "1")});
    list.lapse_deadline = start + std::chrono::seconds(2);
    mirror.apply(start, list);
    const auto changes = mirror.changes_since(collection::upstreams, version(10));
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].is_removed);
    CHECK(changes.changes[0].lapse_deadline == list.lapse_deadline);
    CHECK(mirror.snapshot(collection::upstreams).lapse_deadline == list.lapse_deadline);

    mirror.apply(start, partial_update(22, {changed("a", "2")}));
    CHECK_FALSE(mirror.snapshot(collection::upstreams).lapse_deadline);
}

//! Guards against followers of a relay that use an upstream which has left because another one may have
//! lapsed in an outage before.
TEST_CASE(
    "[GIVEN] a removal that may be a lapse [WHEN] a later one is certain [THEN] peers get each with its "
    "own deadline",
    "[store][pattern: upstreams leave after an outage of the store]")
{
    const auto deadline = start + std::chrono::seconds(2);
    collection_mirror mirror;
    mirror.apply(start, full_update(10, {changed("a", "1"), changed("b", "1")}));
    auto doubtful = partial_update(11, {});
    doubtful.changes.push_back({{"a", {}, object_version(11)}, true, deadline});
    mirror.apply(start, doubtful);
    auto certain = partial_update(12, {});
    certain.changes.push_back({{"b", {}, object_version(12)}, true});
    mirror.apply(start, certain);
    const auto changes = mirror.changes_since(collection::upstreams, version(10)).changes;
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].lapse_deadline == deadline);
    CHECK_FALSE(changes[1].lapse_deadline);
}

//! Guards against an upstream that is used again after a restore of the store although it did not come back
//! when the outage before was over.
TEST_CASE(
    "[GIVEN] a removal that may be a lapse [WHEN] the store is restored with the entry [THEN] it is held "
    "back once the grace period was over",
    "[store][pattern: the store is restored from an older copy]")
{
    const bool is_over = GENERATE(false, true);
    const auto deadline = start + std::chrono::seconds(2);
    collection_mirror mirror;
    mirror.apply(start, full_update(10, {changed("a", "1")}));
    auto doubtful = partial_update(11, {});
    doubtful.changes.push_back({{"a", {}, object_version(11)}, true, deadline});
    mirror.apply(start, doubtful);
    auto restored = full_update(9, {changed("a", "1")});
    restored.era = store_era(1);
    mirror.apply(is_over ? deadline : start, restored);
    CHECK(mirror.objects().contains("a") != is_over);
}
