#include <catch2/catch.hpp>

#include "store/collection_mirror.h"
#include "store/store_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::store;

namespace {
object_change changed(const std::string& name, const std::string& text, std::uint64_t version = 1)
{
    return {{name, text, object_version(version)}, false};
}

object_change removed(const std::string& name, std::uint64_t version = 1)
{
    return {{name, "", object_version(version)}, true};
}

collection_update whole(std::uint64_t at, std::vector<object_change> changes)
{
    return {collection::upstreams, true, false, object_version(at), std::move(changes)};
}

collection_update news(std::uint64_t at, std::vector<object_change> changes)
{
    return {collection::upstreams, false, false, object_version(at), std::move(changes)};
}
} // namespace

TEST_CASE("[GIVEN] a known collection [WHEN] an older update arrives [THEN] nothing goes back", "[store]")
{
    collection_mirror mirror;
    CHECK_FALSE(mirror.is_known());
    CHECK(mirror.apply(whole(10, {changed("a", "1"), changed("b", "1")})));
    CHECK(mirror.apply(news(12, {removed("a")})));

    CHECK_FALSE(mirror.apply(whole(11, {changed("a", "1"), changed("b", "1")})));
    CHECK_FALSE(mirror.apply(news(9, {changed("a", "2")})));

    CHECK(mirror.objects().size() == 1);
    CHECK(mirror.at() == object_version(12));
}

TEST_CASE(
    "[GIVEN] waiting calls that end without news [WHEN] versions are compared [THEN] only changes count",
    "[store]")
{
    collection_mirror mirror;
    mirror.apply(whole(10, {changed("a", "1", 7)}));
    CHECK(mirror.changed_at() == object_version(7));
    mirror.apply(news(40, {}));
    CHECK(mirror.at() == object_version(40));
    CHECK(mirror.changed_at() == object_version(7));

    mirror.apply(whole(50, {changed("a", "1", 7)}));
    CHECK(mirror.changed_at() == object_version(7));

    mirror.apply(whole(60, {changed("a", "2", 55)}));
    CHECK(mirror.changed_at() == object_version(55));

    mirror.apply(whole(70, {}));
    CHECK(mirror.changed_at() == object_version(70));
}

TEST_CASE(
    "[GIVEN] two instances [WHEN] the same changes reach them in other answers [THEN] neither seems behind",
    "[store][pattern: changes in quick succession]")
{
    collection_mirror one;
    collection_mirror other;
    one.apply(whole(10, {}));
    other.apply(whole(10, {}));
    one.apply(news(15, {changed("a", "1", 11)}));
    other.apply(news(11, {changed("a", "1", 11)}));
    CHECK(one.changed_at() <= other.at());

    one.apply(news(21, {removed("a", 20)}));
    other.apply(news(20, {removed("a", 20)}));
    CHECK(one.changed_at() <= other.at());
}

TEST_CASE("[GIVEN] several changes of one object in a batch [WHEN] it is applied [THEN] the last one holds",
          "[store]")
{
    collection_mirror mirror;
    mirror.apply(whole(1, {}));
    mirror.apply(news(5, {changed("a", "1"), removed("a"), changed("a", "3")}));
    CHECK(mirror.objects().at("a").text == "3");

    const auto snapshot = mirror.snapshot(collection::upstreams);
    CHECK(snapshot.is_whole);
    CHECK(snapshot.at == object_version(5));
    CHECK(snapshot.changes.size() == 1);
}

TEST_CASE("[GIVEN] names of collections [WHEN] they are parsed [THEN] an unknown one is an error", "[store]")
{
    for (const auto which : all_collections) {
        CHECK(parse_collection(to_string(which)) == which);
    }
    CHECK_THROWS_AS(parse_collection("secrets"), store_error);
}

TEST_CASE("[GIVEN] a peer that knows less [WHEN] it asks for what it lacks [THEN] the changes make it equal",
          "[store]")
{
    collection_mirror ahead;
    ahead.apply(whole(10, {changed("a", "1", 4), changed("b", "1", 5)}));
    collection_mirror behind = ahead;
    ahead.apply(news(12, {changed("c", "1", 11), removed("a", 12)}));
    ahead.apply(news(15, {changed("b", "2", 14)}));

    const auto changes = ahead.changes_since(collection::upstreams, behind.at());
    CHECK_FALSE(changes.is_whole);
    CHECK(changes.changes.size() == 3);
    CHECK(behind.apply(changes));
    CHECK(behind.at() == ahead.at());
    REQUIRE(behind.objects().size() == 2);
    CHECK(behind.objects().at("b").text == "2");
    CHECK(ahead.changes_since(collection::upstreams, object_version(15)).changes.empty());

    //! What was removed before the first list is not known, so an older peer gets everything.
    CHECK(ahead.changes_since(collection::upstreams, object_version(9)).is_whole);
    CHECK(ahead.changes_since(collection::upstreams, object_version()).is_whole);
}

TEST_CASE(
    "[GIVEN] a list that lacks an object [WHEN] a peer asks for changes [THEN] the removal is among them",
    "[store]")
{
    collection_mirror mirror;
    mirror.apply(whole(10, {changed("a", "1"), changed("b", "1")}));
    auto list = whole(20, {changed("b", "1")});
    list.after_outage = true;
    mirror.apply(list);
    const auto changes = mirror.changes_since(collection::upstreams, object_version(10));
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].is_removed);
    CHECK(changes.after_outage);

    mirror.apply(news(22, {changed("a", "2")}));
    CHECK(mirror.changes_since(collection::upstreams, object_version(21)).after_outage == false);
}
