#include <catch2/catch.hpp>

#include "store/collection_mirror.h"
#include "store/collection_watcher_configuration.h"

using namespace buckthornhill;
using namespace buckthornhill::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const time_point start{seconds(100)};
constexpr reconciliation_configuration limits{milliseconds(4500), milliseconds(4000)};

object_change written(const std::string& name, std::uint64_t version, const std::string& text = "text")
{
    return {{name, text, object_version(version)}, false};
}

object_change removed(const std::string& name, std::uint64_t version)
{
    return {{name, "", object_version(version)}, true};
}

collection_update list(std::uint64_t era, std::uint64_t at, std::vector<object_change> changes)
{
    return {collection::upstreams, true, {}, object_version(at), std::move(changes), store_era(era)};
}

collection_update changes(std::uint64_t era, std::uint64_t at, std::vector<object_change> changed)
{
    return {collection::upstreams, false, {}, object_version(at), std::move(changed), store_era(era)};
}

collection_version version(std::uint64_t era, std::uint64_t revision)
{
    return {store_era(era), object_version(revision)};
}

//! A mirror that knew `a` and `b` and had seen `gone` removed, before the store was restored without `b` and
//! with `gone`.
struct restored_mirror
{
    restored_mirror()
        : mirror(limits)
    {
        this->mirror.apply(start, list(1, 50, {written("a", 40), written("b", 45), written("gone", 20)}));
        this->mirror.apply(start, changes(1, 51, {removed("gone", 51)}));
        this->mirror.apply(start, list(2, 30, {written("a", 25), written("gone", 20)}));
    }

    //! Confirms the collection every second up to `after` the restore; returns what was decided.
    restore_reconciliation::decision confirm_until(milliseconds after)
    {
        restore_reconciliation::decision all;
        for (auto at = start + seconds(1); at <= start + after; at += seconds(1)) {
            auto decision = this->mirror.on_confirmed(at);
            all.removed.insert(all.removed.end(), decision.removed.begin(), decision.removed.end());
            all.accepted.insert(all.accepted.end(), decision.accepted.begin(), decision.accepted.end());
        }
        return all;
    }

    collection_mirror mirror;
};
} // namespace

//! Guards against a gap in the use of upstreams whose registration the copy lacks.
TEST_CASE("[GIVEN] a restored store that lacks an entry [WHEN] its owner writes it again in time [THEN] it "
          "was never missing",
          "[store][pattern: the store is restored from an older copy]")
{
    restored_mirror fixture;
    auto& mirror = fixture.mirror;
    CHECK(mirror.version() == version(2, 30));
    CHECK(mirror.objects().contains("b"));
    CHECK(fixture.confirm_until(seconds(4)).empty());
    CHECK(mirror.apply(start + seconds(4), changes(2, 31, {written("b", 31)})));
    CHECK(fixture.confirm_until(seconds(20)).removed.empty());
    CHECK(mirror.objects().at("b").version == object_version(31));
}

//! Guards against requests for upstreams that ended while the store was away, and against losing an entry
//! that a list after the first one still lacks.
TEST_CASE("[GIVEN] a restored store that lacks an entry [WHEN] nobody writes it again [THEN] it is removed "
          "after the absence limit and not before",
          "[store][pattern: the store is restored from an older copy]")
{
    restored_mirror fixture;
    fixture.mirror.apply(start + seconds(1), list(2, 32, {written("a", 25), written("gone", 20)}));
    CHECK(fixture.confirm_until(seconds(4)).empty());
    CHECK(fixture.mirror.objects().contains("b"));
    CHECK(fixture.confirm_until(seconds(5)).removed == std::vector<std::string>{"b"});
    CHECK_FALSE(fixture.mirror.objects().contains("b"));
}

//! Guards against using an upstream again, or emptying a failure domain again, because the copy is older than
//! the removal.
TEST_CASE(
    "[GIVEN] an entry that was seen leaving [WHEN] a restored store has it [THEN] it is held back until "
    "its lease would have expired or its owner wrote it",
    "[store][pattern: the store is restored from an older copy]")
{
    restored_mirror fixture;
    CHECK_FALSE(fixture.mirror.objects().contains("gone"));
    SECTION("a repeated list does not count as written")
    {
        fixture.mirror.apply(start, list(2, 33, {written("a", 25), written("gone", 20)}));
        CHECK_FALSE(fixture.mirror.objects().contains("gone"));
        CHECK(fixture.confirm_until(seconds(5)).accepted == std::vector<std::string>{"gone"});
        CHECK(fixture.mirror.objects().contains("gone"));
    }
    SECTION("a new write counts")
    {
        fixture.mirror.apply(start, changes(2, 33, {written("gone", 33)}));
        CHECK(fixture.mirror.objects().contains("gone"));
    }
    SECTION("its removal is passed on to peers")
    {
        fixture.mirror.apply(start, list(2, 34, {written("a", 25)}));
        const auto update = fixture.mirror.changes_since(collection::upstreams, version(2, 33));
        REQUIRE(update.changes.size() == 1);
        CHECK(update.changes[0].is_removed);
        CHECK(fixture.confirm_until(seconds(9)).accepted.empty());
    }
}

//! Guards against believing revisions that were given out again, in either direction.
TEST_CASE(
    "[GIVEN] versions of two eras [WHEN] updates arrive [THEN] the later era counts whatever the revision",
    "[store][pattern: the store is restored from an older copy]")
{
    collection_mirror mirror(limits);
    mirror.apply(start, list(1, 50, {written("a", 40, "old")}));
    CHECK_FALSE(mirror.apply(start, changes(2, 31, {written("a", 31)})));
    CHECK(mirror.apply(start, list(2, 30, {written("a", 25, "new")})));
    CHECK_FALSE(mirror.apply(start, list(1, 90, {written("a", 80, "old")})));
    CHECK_FALSE(mirror.apply(start, changes(1, 91, {removed("a", 91)})));
    CHECK(mirror.objects().at("a").text == "new");
    CHECK(mirror.last_change_version() == version(2, 25));
    CHECK(mirror.last_change_version() > version(1, 90));
}

//! Guards against followers that apply changes to a state of another era, and against a chain of instances
//! that keep an entry alive for each other.
TEST_CASE(
    "[GIVEN] a follower in an earlier era [WHEN] it asks for changes [THEN] it gets the store's whole state",
    "[store][pattern: the store is restored from an older copy]")
{
    restored_mirror fixture;
    const auto update = fixture.mirror.changes_since(collection::upstreams, version(1, 29));
    CHECK(update.is_snapshot);
    CHECK(update.era == store_era(2));
    REQUIRE(update.changes.size() == 2);
    CHECK(update.changes[0].object.name == "a");
    CHECK(update.changes[1].object.name == "gone");

    collection_mirror follower(limits);
    follower.apply(start, list(1, 51, {written("a", 40), written("c", 45)}));
    CHECK(follower.apply(start, update));
    CHECK(follower.objects().contains("c"));
    CHECK(fixture.mirror.changes_since(collection::upstreams, version(2, 30)).changes.empty());
}

//! Guards against removing everything when the store, or the way to it, fails again right after the restore.
TEST_CASE(
    "[GIVEN] a reconciliation [WHEN] the store is out of contact [THEN] that time does not count as absence",
    "[store][pattern: the store is restored from an older copy]")
{
    restore_reconciliation reconciliation(limits);
    reconciliation.begin(start, {"b"}, {});
    CHECK(reconciliation.on_confirmed(start + seconds(2)).empty());
    SECTION("after a reported loss")
    {
        reconciliation.on_contact_lost();
        CHECK(reconciliation.on_confirmed(start + seconds(5)).empty());
        CHECK(reconciliation.on_confirmed(start + seconds(7)).empty());
        CHECK(reconciliation.on_confirmed(start + seconds(8)).removed.size() == 1);
    }
    SECTION("after a silence that nobody reported")
    {
        CHECK(reconciliation.on_confirmed(start + seconds(60)).empty());
        CHECK(reconciliation.on_confirmed(start + seconds(63)).removed.size() == 1);
    }
    CHECK(reconciliation.is_over());
}

//! Guards against giving up an entry because its second absence was counted together with the first.
TEST_CASE(
    "[GIVEN] a reconciliation [WHEN] the store is restored once more [THEN] the time of absence starts anew",
    "[store][pattern: the store is restored from an older copy]")
{
    restored_mirror fixture;
    CHECK(fixture.confirm_until(seconds(4)).empty());
    fixture.mirror.apply(start + seconds(4), list(3, 29, {written("a", 25), written("gone", 20)}));
    CHECK(fixture.mirror.objects().contains("b"));
    CHECK_FALSE(fixture.mirror.objects().contains("gone"));
    CHECK(fixture.mirror.on_confirmed(start + seconds(8)).empty());
    CHECK(fixture.mirror.on_confirmed(start + seconds(9)).removed.size() == 1);
}

//! Guards against an absence limit below what upstreams need to renew, or below the time to recover.
TEST_CASE(
    "[GIVEN] the settings of a deployment [WHEN] the limits are derived [THEN] they cover the renewals, the "
    "recovery bound and the longest poll",
    "[store]")
{
    collection_watcher_configuration configuration;
    configuration.recovery_bound = milliseconds(4000);
    CHECK(configuration.reconciliation().absence_limit == milliseconds(4500));
    configuration.recovery_bound = milliseconds(9000);
    CHECK(configuration.reconciliation().absence_limit == milliseconds(9000));
    for (const auto which : all_collections) {
        CHECK(configuration.reconciliation().max_confirmation_gap >
              configuration.poll_duration(which) + configuration.max_pause);
    }
}
