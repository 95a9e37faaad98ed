#include <algorithm>

#include <catch2/catch.hpp>

#include "gateway/witness_search.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;
using result = witness_search::result;
using verdict = witness_search::verdict;

namespace {
constexpr milliseconds tick{20};
constexpr milliseconds answer_time{30};
constexpr milliseconds silence{700};

//! One instance that searches, and what those that it asks would answer.
class searching_instance
{
public:
    struct peer
    {
        result answer = result::answered;
        witness_quality quality = witness_quality::none;
    };

    explicit searching_instance(witness_quality own) { this->search.begin(this->now, own); }

    verdict run_for(milliseconds time)
    {
        const auto end = this->now + time;
        auto latest = verdict::pending;
        while (this->now < end && latest == verdict::pending) {
            this->ask();
            this->deliver();
            latest = this->search.decide(this->now);
            this->now += tick;
        }
        return latest;
    }

    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(this->search.elapsed(this->now));
    }

    std::map<instance_id, peer> peers;
    witness_search search{{}};
    std::size_t most_at_once = 0;
    std::size_t questions = 0;

private:
    struct question
    {
        instance_id asked;
        time_point answered_at;
    };

    void ask()
    {
        std::vector<instance_id> known;
        for (const auto& [id, peer] : this->peers) {
            known.push_back(id);
        }
        for (const auto& id : this->search.take_targets(this->now, known)) {
            const bool is_silent = this->peers.at(id).answer == result::silent;
            this->open.push_back({id, this->now + (is_silent ? silence : answer_time)});
            ++this->questions;
        }
        this->most_at_once = std::max(this->most_at_once, this->open.size());
    }

    void deliver()
    {
        std::erase_if(this->open, [this](const question& one) {
            if (one.answered_at > this->now) {
                return false;
            }
            const auto& answer = this->peers.at(one.asked);
            if (answer.answer == result::answered) {
                this->search.on_witness(answer.quality);
            }
            this->search.on_result(one.asked, answer.answer);
            return true;
        });
    }

    time_point now{std::chrono::hours(1)};
    std::vector<question> open;
};

instance_id numbered(std::size_t number)
{
    return instance_id("i" + std::to_string(number));
}
} // namespace

//! Guards against starts that make callers with keys wait, for instance for addresses that are out of date.
TEST_CASE("[GIVEN] an instance that starts [WHEN] instances run that know the store's era [THEN] the first "
          "answer settles it",
          "[gateway][pattern: a release starts all instances one after the other]")
{
    searching_instance started(witness_quality::none);
    SECTION("beside one that is silent")
    {
        started.peers[numbered(0)] = {result::silent};
    }
    SECTION("beside some that have just started")
    {
        for (std::size_t i = 0; i < 2; ++i) {
            started.peers[numbered(i)] = {};
        }
    }
    SECTION("behind addresses at which nothing runs")
    {
        for (std::size_t i = 0; i < 4; ++i) {
            started.peers[numbered(i)] = {result::refused};
        }
    }
    started.peers[numbered(9)] = {result::answered, witness_quality::settled};
    CHECK(started.run_for(milliseconds(10000)) == verdict::settled);
    CHECK(started.elapsed() <= milliseconds(200));
}

//! Guards against a change that only one of the witnesses has heard of before the store went away.
TEST_CASE("[GIVEN] a store that was restored a moment ago [WHEN] its witnesses have not compared what they "
          "know [THEN] all that were asked are heard",
          "[gateway][pattern: the store is restored from an older copy]")
{
    const auto own = GENERATE(witness_quality::none, witness_quality::recent);
    searching_instance instance(own);
    instance.peers[numbered(0)] = {result::answered, witness_quality::recent};
    instance.peers[numbered(1)] = {result::silent};
    CHECK(instance.run_for(milliseconds(600)) == verdict::pending);
    CHECK(instance.run_for(milliseconds(400)) == verdict::settled);
}

//! Guards against instances that start in the same second, or one after the other, and vouch for each other.
TEST_CASE("[GIVEN] instances that have just started [WHEN] they ask only each other [THEN] none is settled "
          "before the last witness would have answered",
          "[gateway][pattern: a release starts all instances one after the other]")
{
    searching_instance started(witness_quality::none);
    for (std::size_t i = 0; i < 9; ++i) {
        started.peers[numbered(i)] = {};
    }
    CHECK(started.run_for(milliseconds(1500)) == verdict::pending);
    SECTION("a witness comes into reach")
    {
        started.peers[numbered(9)] = {result::answered, witness_quality::lapsed};
        CHECK(started.run_for(milliseconds(1400)) == verdict::settled);
    }
    SECTION("no witness is left")
    {
        CHECK(started.run_for(milliseconds(1400)) == verdict::pending);
        CHECK(started.run_for(milliseconds(200)) == verdict::assumed);
        CHECK(started.run_for(milliseconds(4000)) == verdict::pending);
        CHECK(started.run_for(milliseconds(1000)) == verdict::settled);
        CHECK_FALSE(started.search.is_asking());
    }
    CHECK(started.most_at_once <= 4);
    CHECK(started.questions <= 30);
}

//! Guards against an instance that is cut off from the others, but not from the store, and believes the
//! store.
TEST_CASE("[GIVEN] an instance that starts [WHEN] the others are silent [THEN] it waits longer than where "
          "nothing runs",
          "[gateway][pattern: the store is restored from an older copy]")
{
    searching_instance started(witness_quality::none);
    started.peers[numbered(0)] = {result::refused};
    started.peers[numbered(1)] = {result::silent};
    CHECK(started.run_for(milliseconds(4000)) == verdict::pending);
    SECTION("the cut ends")
    {
        started.peers[numbered(1)] = {result::answered, witness_quality::settled};
        CHECK(started.run_for(milliseconds(1900)) == verdict::settled);
    }
    SECTION("the cut does not end")
    {
        CHECK(started.run_for(milliseconds(1900)) == verdict::pending);
        CHECK(started.run_for(milliseconds(300)) == verdict::assumed);
    }
}

//! Guards against an instance that was frozen while a key was revoked and takes itself for a witness, and
//! against an outage of the store that makes all instances doubt themselves.
TEST_CASE(
    "[GIVEN] an instance whose confirmation lapsed before the restore [WHEN] it searches [THEN] it needs "
    "a recent witness, or the answers of all that it asked",
    "[gateway][pattern: the store is restored from an older copy]")
{
    searching_instance instance(witness_quality::lapsed);
    SECTION("a recent witness and a silent one")
    {
        instance.peers[numbered(0)] = {result::answered, witness_quality::recent};
        instance.peers[numbered(1)] = {result::silent};
        CHECK(instance.run_for(milliseconds(1000)) == verdict::settled);
    }
    SECTION("all lapsed, since the store was away for long")
    {
        instance.peers[numbered(0)] = {result::answered, witness_quality::lapsed};
        instance.peers[numbered(1)] = {result::answered, witness_quality::lapsed};
        CHECK(instance.run_for(milliseconds(200)) == verdict::settled);
    }
    SECTION("another one that lapsed, and a silent one that may know better")
    {
        instance.peers[numbered(0)] = {result::answered, witness_quality::lapsed};
        instance.peers[numbered(1)] = {result::silent};
        CHECK(instance.run_for(milliseconds(2900)) == verdict::pending);
        CHECK(instance.run_for(milliseconds(3400)) == verdict::settled);
    }
    SECTION("no other instance")
    {
        CHECK(instance.run_for(milliseconds(100)) == verdict::settled);
    }
}

//! Guards against an answer to an earlier search that counts in the present one.
TEST_CASE("[GIVEN] a question in progress [WHEN] the store is restored once more [THEN] its answer says "
          "nothing about the new era",
          "[gateway][pattern: the store is restored from an older copy]")
{
    const time_point now{std::chrono::hours(1)};
    witness_search search{{}};
    search.begin(now, witness_quality::recent);
    REQUIRE(search.take_targets(now, {numbered(0)}).size() == 1);
    search.begin(now + tick, witness_quality::lapsed);
    search.on_result(numbered(0), result::answered);
    REQUIRE(search.take_targets(now + tick, {numbered(0)}).size() == 1);
    CHECK(search.decide(now + tick) == verdict::pending);
}
