#include <catch2/catch.hpp>

#include "store/collection_mirror.h"
#include "store/store_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::store;

namespace {
object_change changed(const std::string& name, const std::string& text)
{
    return {{name, text, object_version(1)}, false};
}

object_change removed(const std::string& name)
{
    return {{name, "", object_version(1)}, true};
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
    mirror.apply(whole(10, {changed("a", "1")}));
    mirror.apply(news(40, {}));
    CHECK(mirror.at() == object_version(40));
    CHECK(mirror.changed_at() == object_version(10));

    mirror.apply(whole(50, {changed("a", "1")}));
    CHECK(mirror.changed_at() == object_version(10));

    mirror.apply(whole(60, {changed("a", "2")}));
    CHECK(mirror.changed_at() == object_version(60));
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
