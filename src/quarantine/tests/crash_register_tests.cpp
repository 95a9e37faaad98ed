#include <catch2/catch.hpp>

#include "quarantine/crash_register.h"

using namespace buckthornhill;
using namespace buckthornhill::quarantine;
using std::chrono::seconds;

namespace {
const fingerprint culprit(1, 1);
const fingerprint bystander(2, 2);
const time_point start{seconds(1000)};

quarantine_configuration configuration()
{
    quarantine_configuration made;
    made.crashes_to_quarantine = 3;
    made.crashes_to_run_singly = 2;
    made.max_suspects = 4;
    made.suspect_lifetime = seconds(60);
    made.first_quarantine = seconds(60);
    made.max_quarantine = seconds(600);
    made.quarantine_growth = 4;
    made.trial_limit = seconds(10);
    return made;
}

upstream_run run(int number)
{
    return upstream_run("u" + std::to_string(number) + "@1");
}

void crash(crash_register& suspects, time_point now, fingerprint request, int upstream)
{
    suspects.on_crash(now, run(upstream), {request});
}

crash_register quarantined_register(time_point now)
{
    crash_register suspects(configuration());
    for (int i = 0; i < 3; ++i) {
        crash(suspects, now, culprit, i);
    }
    return suspects;
}
} // namespace

TEST_CASE(
    "[GIVEN] upstreams that end under a request [WHEN] it is the third one [THEN] the request is quarantined",
    "[quarantine]")
{
    crash_register suspects(configuration());
    crash(suspects, start, culprit, 1);
    crash(suspects, start, culprit, 1);
    CHECK(suspects.crash_count(culprit) == 1);
    CHECK_FALSE(suspects.runs_singly(culprit));
    crash(suspects, start, culprit, 2);
    CHECK(suspects.runs_singly(culprit));
    CHECK(suspects.state_of(start, culprit) == quarantine_state::suspected);
    crash(suspects, start, culprit, 3);
    CHECK(suspects.state_of(start, culprit) == quarantine_state::quarantined);
    CHECK(suspects.quarantine_left(start, culprit) == seconds(60));
}

TEST_CASE(
    "[GIVEN] a quarantined request [WHEN] the time is over [THEN] it runs one at a time, and another crash "
    "quarantines it for longer",
    "[quarantine]")
{
    auto suspects = quarantined_register(start);
    const auto later = start + seconds(61);
    suspects.on_tick(later);
    CHECK(suspects.state_of(later, culprit) == quarantine_state::suspected);
    CHECK(suspects.begin_trial(later, culprit));
    CHECK_FALSE(suspects.begin_trial(later, culprit));
    crash(suspects, later, culprit, 9);
    CHECK(suspects.quarantine_left(later, culprit) == seconds(240));
    auto time = later;
    for (int i = 10; i < 14; ++i) {
        time += suspects.quarantine_left(time, culprit) + seconds(1);
        suspects.on_tick(time);
        crash(suspects, time, culprit, i);
    }
    CHECK(suspects.quarantine_left(time, culprit) == seconds(600));
}

TEST_CASE("[GIVEN] a quarantine that is over [WHEN] nobody sends the request for as long again [THEN] it is "
          "forgotten",
          "[quarantine]")
{
    auto suspects = quarantined_register(start);
    suspects.on_tick(start + seconds(290));
    CHECK(suspects.size() == 1);
    suspects.on_tick(start + seconds(310));
    CHECK(suspects.size() == 0);
}

TEST_CASE("[GIVEN] a suspect [WHEN] it completes [THEN] it is cleared, also when it was quarantined",
          "[quarantine]")
{
    auto suspects = quarantined_register(start);
    CHECK(suspects.on_completed(culprit));
    CHECK(suspects.state_of(start, culprit) == quarantine_state::clear);
    CHECK_FALSE(suspects.on_completed(culprit));
}

//! Guards against a crashing request that is cleared because one beside it is quarantined first.
TEST_CASE("[GIVEN] two requests that were in progress at the same crashes [WHEN] the innocent one is "
          "quarantined first "
          "[THEN] the other one is quarantined too",
          "[quarantine]")
{
    crash_register suspects(configuration());
    suspects.on_crash(start, run(1), {bystander, culprit});
    suspects.on_crash(start, run(2), {bystander, culprit});
    suspects.on_crash(start, run(3), {bystander, culprit});
    CHECK(suspects.state_of(start, bystander) == quarantine_state::quarantined);
    CHECK(suspects.state_of(start, culprit) == quarantine_state::quarantined);
}

TEST_CASE(
    "[GIVEN] a full register [WHEN] more requests crash upstreams [THEN] those with the fewest crashes go "
    "first, and a quarantined one stays",
    "[quarantine]")
{
    auto suspects = quarantined_register(start);
    for (std::uint64_t i = 100; i < 200; ++i) {
        crash(suspects, start + seconds(i), fingerprint(i), static_cast<int>(i));
    }
    CHECK(suspects.size() == configuration().max_suspects);
    CHECK(suspects.crash_count(culprit) == 3);
    CHECK(suspects.crash_count(fingerprint(199)) == 1);
    CHECK(suspects.crash_count(fingerprint(100)) == 0);
}

TEST_CASE(
    "[GIVEN] many crashes of one request [WHEN] they are recorded [THEN] their number is bounded and new "
    "ones still count",
    "[quarantine]")
{
    auto suspects = quarantined_register(start);
    for (int i = 10; i < 60; ++i) {
        crash(suspects, start, culprit, i);
    }
    CHECK(suspects.crash_count(culprit) == 16);
    const auto later = start + seconds(61);
    crash(suspects, later, culprit, 99);
    CHECK(suspects.state_of(later, culprit) == quarantine_state::quarantined);
}

TEST_CASE(
    "[GIVEN] a report of another instance [WHEN] it is merged [THEN] both know the same, and crashes that "
    "each saw alone add up",
    "[quarantine]")
{
    crash_register first(configuration());
    crash_register second(configuration());
    crash(first, start, culprit, 1);
    crash(first, start, culprit, 2);
    crash(second, start, culprit, 3);
    CHECK(second.merge(start, *first.report_of(start, culprit)));
    CHECK(second.state_of(start, culprit) == quarantine_state::quarantined);
    CHECK(first.merge(start + seconds(1), *second.report_of(start + seconds(1), culprit)));
    CHECK(first.state_of(start, culprit) == quarantine_state::quarantined);
    CHECK(first.quarantine_left(start, culprit) == second.quarantine_left(start, culprit));
    CHECK_FALSE(first.merge(start + seconds(1), *second.report_of(start + seconds(1), culprit)));
}
