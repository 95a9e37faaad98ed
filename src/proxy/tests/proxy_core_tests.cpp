#include <memory>

#include <catch2/catch.hpp>

#include "global/pause_detector.h"
#include "proxy_fixture.h"

using namespace buckthornhill;
using namespace buckthornhill::proxy;
using routing::repeat_rule;
using std::chrono::milliseconds;

TEST_CASE("[GIVEN] a pool with room [WHEN] a request is answered [THEN] the response is delivered", "[proxy]")
{
    proxy_fixture fixture(3);
    fixture.request();
    const auto attempt = fixture.single_action<start_attempt_action>();
    CHECK(attempt.deadline == fixture.now + milliseconds(1000));
    fixture.finish_attempt(attempt, success());
    CHECK(fixture.single_action<deliver_action>().flow == attempt.flow);
    CHECK(fixture.core.flow_count() == 0);
}

TEST_CASE("[GIVEN] no configuration yet [WHEN] a request arrives [THEN] it is refused, not called unknown",
          "[proxy]")
{
    proxy_core core(instance_id("i1"), here, {}, [] { return std::uint64_t{1}; });
    request_facts facts;
    facts.flow = flow_id(1);
    facts.host = "h";
    facts.path = "/a/x";
    core.on_request(time_point{}, facts);
    const auto actions = core.take_actions();
    REQUIRE(actions.size() == 1);
    CHECK(std::get<refuse_action>(actions[0]).reason == refusal_reason::no_configuration);
}

TEST_CASE("[GIVEN] a request that may run once [WHEN] its connection breaks [THEN] it is not sent again",
          "[proxy][at most once]")
{
    proxy_fixture fixture(3);
    fixture.configure(2, repeat_rule::at_most_once);
    for (const auto status : {transport_status::broken, transport_status::timed_out}) {
        fixture.request();
        const auto attempt = fixture.single_action<start_attempt_action>();
        CHECK(attempt.needs_recent_connection);
        fixture.finish_attempt(attempt, outcome_of_status(status));
        CHECK(fixture.single_action<fail_action>().is_timeout == (status == transport_status::timed_out));
    }
}

TEST_CASE(
    "[GIVEN] a request that may run once [WHEN] it certainly did not run [THEN] another upstream gets it",
    "[proxy][at most once]")
{
    for (const auto& outcome :
         {rejected(), misdirected(), outcome_of_status(transport_status::connect_failed)}) {
        proxy_fixture fixture(3);
        fixture.configure(2, repeat_rule::at_most_once);
        fixture.request();
        const auto first = fixture.single_action<start_attempt_action>();
        fixture.finish_attempt(first, outcome);
        const auto second = fixture.single_action<start_attempt_action>();
        CHECK(second.upstream != first.upstream);
        CHECK(second.attempt == first.attempt + 1);
    }
}

TEST_CASE("[GIVEN] a request that may have run [WHEN] the next upstream is full [THEN] no refusal is sent",
          "[proxy][honest answers]")
{
    proxy_fixture fixture(2);
    fixture.request();
    const auto first = fixture.single_action<start_attempt_action>();
    fixture.finish_attempt(first, outcome_of_status(transport_status::broken));
    const auto second = fixture.single_action<start_attempt_action>();
    fixture.finish_attempt(second, rejected());
    //! It may have run at the first upstream, so "not executed" would be false.
    fixture.single_action<fail_action>();
}

TEST_CASE("[GIVEN] a repeatable request [WHEN] upstreams fail [THEN] it reaches at most max_upstreams",
          "[proxy][retries]")
{
    proxy_fixture fixture(4);
    fixture.request();
    auto attempt = fixture.single_action<start_attempt_action>();
    fixture.finish_attempt(attempt, outcome_of_status(transport_status::broken));
    attempt = fixture.single_action<start_attempt_action>();
    fixture.finish_attempt(attempt, outcome_of_status(transport_status::broken));
    fixture.single_action<fail_action>();
}

TEST_CASE("[GIVEN] a pool where every attempt breaks [WHEN] load continues [THEN] retries keep to the budget",
          "[proxy][pattern: answers are lost under load]")
{
    proxy_configuration configuration;
    configuration.retry_burst = 20;
    configuration.placement.failures_to_eject = 1000000; // so that only the retry budget limits retries
    proxy_fixture fixture(4, configuration);
    int first_attempts = 0;
    int retries = 0;
    for (int i = 0; i < 500; ++i) {
        fixture.request(static_cast<std::uint64_t>(i));
        for (auto actions = fixture.core.take_actions(); !actions.empty();
             actions = fixture.core.take_actions()) {
            for (const auto& action : actions) {
                if (const auto* attempt = std::get_if<start_attempt_action>(&action)) {
                    ++(attempt->attempt == 1 ? first_attempts : retries);
                    fixture.finish_attempt(*attempt, outcome_of_status(transport_status::broken));
                }
            }
        }
        fixture.now += milliseconds(10);
    }
    CHECK(first_attempts > 100);
    CHECK(retries <= first_attempts * configuration.retry_ratio + configuration.retry_burst);
}

TEST_CASE("[GIVEN] a full pool [WHEN] requests arrive [THEN] they wait an eighth of the objective at most",
          "[proxy][pattern: more is asked than the pool holds]")
{
    proxy_fixture fixture(1);
    std::vector<start_attempt_action> running;
    for (int i = 0; i < 20; ++i) {
        fixture.request();
    }
    for (const auto& action : fixture.core.take_actions()) {
        if (const auto* attempt = std::get_if<start_attempt_action>(&action)) {
            running.push_back(*attempt);
        }
    }
    REQUIRE(fixture.core.waiting_count() > 0);
    CHECK(running.size() <= 2 * placement::placement_configuration{}.load_limit_by_priority.at(1) + 1);

    SECTION("room becomes available in time")
    {
        fixture.now += milliseconds(20);
        fixture.finish_attempt(running.front(), success());
        const auto actions = fixture.core.take_actions();
        CHECK(std::holds_alternative<deliver_action>(actions.at(0)));
        CHECK(std::holds_alternative<start_attempt_action>(actions.at(1)));
    }
    SECTION("no room becomes available")
    {
        const auto waiting = fixture.core.waiting_count();
        fixture.now += milliseconds(51);
        fixture.core.on_tick(fixture.now);
        const auto actions = fixture.core.take_actions();
        CHECK(actions.size() == waiting);
        for (const auto& action : actions) {
            const auto& refusal = std::get<refuse_action>(action);
            CHECK(refusal.reason == refusal_reason::overloaded);
            CHECK(refusal.retry_after >= milliseconds(50));
        }
        CHECK(fixture.core.waiting_count() == 0);
    }
}

TEST_CASE(
    "[GIVEN] a caller with little time [WHEN] no upstream can respond in time [THEN] it is refused at once",
    "[proxy][pattern: callers that come back late]")
{
    proxy_fixture fixture(2);
    fixture.request(1, milliseconds(50));
    CHECK(fixture.single_action<refuse_action>().reason == refusal_reason::overloaded);
}

TEST_CASE("[GIVEN] waiting requests [WHEN] the configuration drops their route [THEN] they are not sent",
          "[proxy][configuration]")
{
    proxy_fixture fixture(1);
    for (int i = 0; i < 20; ++i) {
        fixture.request();
    }
    const auto waiting = fixture.core.waiting_count();
    REQUIRE(waiting > 0);
    fixture.core.take_actions();
    fixture.configure(2, repeat_rule::repeatable, "/b/");
    fixture.core.on_tick(fixture.now);
    const auto actions = fixture.core.take_actions();
    CHECK(actions.size() == waiting);
    for (const auto& action : actions) {
        CHECK(std::holds_alternative<no_route_action>(action));
    }
}

TEST_CASE("[GIVEN] waiting requests [WHEN] their only upstream leaves [THEN] nothing is sent to it",
          "[proxy][drain]")
{
    proxy_fixture fixture(1);
    for (int i = 0; i < 20; ++i) {
        fixture.request();
    }
    REQUIRE(fixture.core.waiting_count() > 0);
    fixture.core.take_actions();
    auto leaving = proxy_fixture::entry(0);
    leaving.is_leaving = true;
    fixture.core.upstreams().upsert(fixture.now, leaving);
    fixture.core.on_tick(fixture.now);
    for (const auto& action : fixture.core.take_actions()) {
        CHECK(std::get<refuse_action>(action).reason == refusal_reason::no_upstream);
    }
    CHECK(fixture.core.waiting_count() == 0);
}

TEST_CASE("[GIVEN] a running request [WHEN] its caller leaves [THEN] it is cancelled only if repeatable",
          "[proxy][pattern: callers leave]")
{
    proxy_fixture fixture(2);
    auto flow = fixture.request();
    auto attempt = fixture.single_action<start_attempt_action>();
    fixture.core.on_cancelled(fixture.now, flow);
    CHECK(fixture.single_action<cancel_attempt_action>().attempt == attempt.attempt);

    fixture.configure(2, repeat_rule::at_most_once);
    flow = fixture.request();
    attempt = fixture.single_action<start_attempt_action>();
    fixture.core.on_cancelled(fixture.now, flow);
    CHECK(fixture.core.take_actions().empty());
    fixture.finish_attempt(attempt, success());
    CHECK(fixture.core.flow_count() == 0);
}

TEST_CASE("[GIVEN] waiting requests [WHEN] the process was suspended [THEN] they are refused and not sent",
          "[proxy][pattern: a machine freezes and wakes]")
{
    proxy_fixture fixture(1);
    for (int i = 0; i < 20; ++i) {
        fixture.request();
    }
    const auto waiting = fixture.core.waiting_count();
    REQUIRE(waiting > 0);
    fixture.core.take_actions();
    fixture.core.on_pause(fixture.now);
    const auto actions = fixture.core.take_actions();
    CHECK(actions.size() == waiting);
    for (const auto& action : actions) {
        CHECK(std::get<refuse_action>(action).reason == refusal_reason::paused);
    }
    CHECK(fixture.core.waiting_count() == 0);
}

TEST_CASE("[GIVEN] two clocks, one counting suspension [WHEN] they diverge [THEN] a pause is detected",
          "[proxy]")
{
    pause_detector detector(milliseconds(500));
    time_point steady{std::chrono::seconds(5)};
    std::chrono::nanoseconds boot = std::chrono::seconds(9);
    CHECK(detector.observe(steady, boot) == duration{});
    CHECK(detector.observe(steady += milliseconds(20), boot += milliseconds(20)) == duration{});
    CHECK(detector.observe(steady += milliseconds(20), boot += milliseconds(3020)) == milliseconds(3020));
    CHECK(detector.observe(steady += milliseconds(20), boot += milliseconds(20)) == duration{});
    CHECK(detector.observe(steady += milliseconds(900), boot += milliseconds(900)) == milliseconds(900));
}

TEST_CASE("[GIVEN] a split route [WHEN] many requests arrive [THEN] each service gets its share", "[proxy]")
{
    routing::route route;
    route.name = "split";
    route.services = {{service_id("a"), 90}, {service_id("b"), 10}};
    service_rotation rotation;
    int to_b = 0;
    for (int i = 0; i < 100; ++i) {
        to_b += rotation.next(route) == service_id("b") ? 1 : 0;
    }
    CHECK(to_b == 10);
}

namespace {
//! Sends requests for ten seconds through all `instances`, whose attempts all end with `outcome`, and returns
//! the number of attempts beyond the first of each request.
int count_retries(std::vector<std::unique_ptr<proxy_fixture>>& instances, const attempt_outcome& outcome,
                  int requests_per_instance)
{
    int retries = 0;
    for (int i = 0; i < requests_per_instance; ++i) {
        for (auto& instance : instances) {
            instance->request(static_cast<std::uint64_t>(i));
            for (auto actions = instance->core.take_actions(); !actions.empty();
                 actions = instance->core.take_actions()) {
                for (const auto& action : actions) {
                    if (const auto* attempt = std::get_if<start_attempt_action>(&action)) {
                        retries += attempt->attempt > 1 ? 1 : 0;
                        instance->finish_attempt(*attempt, outcome);
                    }
                }
            }
            instance->now += std::chrono::seconds(10) / requests_per_instance;
        }
    }
    return retries;
}

std::vector<std::unique_ptr<proxy_fixture>> make_instances(std::size_t count,
                                                           duration uptime = std::chrono::seconds(60))
{
    proxy_configuration configuration;
    configuration.retry_burst = 58;
    configuration.placement.failures_to_eject = 1000000; // so that only the retry budget limits retries
    std::vector<std::unique_ptr<proxy_fixture>> instances;
    for (std::size_t i = 0; i < count; ++i) {
        instances.push_back(std::make_unique<proxy_fixture>(20, configuration, uptime));
    }
    return instances;
}

std::vector<placement::known_instance> known_instances(std::size_t count)
{
    std::vector<placement::known_instance> known;
    for (std::size_t i = 1; i <= count; ++i) {
        known.push_back({instance_id("i" + std::to_string(i)), here.region});
    }
    return known;
}

constexpr double allowed_retries(int requests)
{
    return 0.2 * requests + 58;
}
} // namespace

//! Guards against a retry budget that grows with each instance that has lost sight of the others.
TEST_CASE(
    "[GIVEN] instances that know each other [WHEN] each of them sees only itself live [THEN] their retries "
    "together keep to the budget",
    "[proxy][pattern: instances lose sight of each other]")
{
    constexpr std::size_t count = 9;
    constexpr int requests = 40;
    auto instances = make_instances(count);
    for (auto& instance : instances) {
        instance->core.set_instances(instance->now, count, known_instances(count));
        instance->now += std::chrono::seconds(12);
        instance->core.set_instances(instance->now, 1, known_instances(1));
    }
    CHECK(count_retries(instances, outcome_of_status(transport_status::broken), requests) <=
          allowed_retries(static_cast<int>(count) * requests));
}

//! Guards against a retry budget that grows in each region once the regions have lost each other for some
//! time.
TEST_CASE("[GIVEN] instances of three regions [WHEN] the regions lose each other for minutes [THEN] the "
          "retries of all "
          "together keep to the budget",
          "[proxy][pattern: instances lose sight of each other]")
{
    constexpr std::size_t count = 9;
    constexpr std::size_t regions = 3;
    constexpr int requests = 40;
    auto instances = make_instances(count);
    for (auto& instance : instances) {
        instance->core.set_instances(instance->now, count, known_instances(count));
        for (int second = 0; second < 300; ++second) {
            instance->now += std::chrono::seconds(1);
            instance->core.set_instances(instance->now, count / regions, known_instances(count / regions));
        }
    }
    CHECK(count_retries(instances, outcome_of_status(transport_status::broken), requests) <=
          allowed_retries(static_cast<int>(count) * requests));
}

//! Guards against restarted instances that each spend the whole budget before they know the others.
TEST_CASE(
    "[GIVEN] instances that have just started [WHEN] they don't know each other yet [THEN] their retries "
    "together keep to the budget",
    "[proxy][pattern: all instances restart under load]")
{
    constexpr std::size_t count = 9;
    constexpr int requests = 40;
    auto instances = make_instances(count, duration{});
    for (auto& instance : instances) {
        instance->core.set_instances(instance->now, 1, known_instances(1));
    }
    CHECK(count_retries(instances, outcome_of_status(transport_status::broken), requests) <=
          allowed_retries(static_cast<int>(count) * requests));
}

//! Guards against repeats after 421 that nobody counts.
TEST_CASE(
    "[GIVEN] addresses that belong to other upstreams now [WHEN] requests are sent there [THEN] the repeats "
    "keep to the budget",
    "[proxy][pattern: addresses are used again]")
{
    constexpr int requests = 200;
    auto instances = make_instances(1);
    auto& instance = *instances.front();
    int sends = 0;
    int requests_sent = 0;
    for (int i = 0; i < requests; ++i) {
        //! Each request finds four upstreams whose registration is renewed and whose address answers as
        //! another.
        for (int number = 0; number < 20; ++number) {
            auto moved = proxy_fixture::entry(number);
            moved.started_at_ms = static_cast<std::uint64_t>(i) + 2;
            instance.core.upstreams().upsert(instance.now, moved);
        }
        instance.request(static_cast<std::uint64_t>(i));
        ++requests_sent;
        for (auto actions = instance.core.take_actions(); !actions.empty();
             actions = instance.core.take_actions()) {
            for (const auto& action : actions) {
                if (const auto* attempt = std::get_if<start_attempt_action>(&action)) {
                    ++sends;
                    instance.finish_attempt(*attempt, misdirected());
                }
            }
        }
        instance.now += milliseconds(20);
    }
    CHECK(sends - requests_sent <= allowed_retries(requests_sent));
}

//! Guards against requests to an upstream that says itself that it leaves, while the store is silent or lags.
TEST_CASE(
    "[GIVEN] an upstream that says it leaves [WHEN] older news of this run arrive [THEN] it gets no further "
    "requests until another run registers",
    "[proxy][pattern: upstreams leave while the store is silent]")
{
    proxy_fixture fixture(1);
    fixture.request();
    auto leaving = success();
    leaving.signals = placement::upstream_signals{{}, true, {}};
    fixture.finish_attempt(fixture.single_action<start_attempt_action>(), leaving);
    const auto actions = fixture.core.take_actions();
    REQUIRE(actions.size() == 2);
    CHECK(std::get<signal_changed_action>(actions[0]).change == signal_change::leaving);
    CHECK(std::holds_alternative<deliver_action>(actions[1]));
    fixture.core.upstreams().upsert(fixture.now, proxy_fixture::entry(0));
    fixture.core.upstreams().replace_all(fixture.now, {proxy_fixture::entry(0)});
    fixture.request();
    CHECK(fixture.single_action<refuse_action>().reason == refusal_reason::no_upstream);

    auto other_run = proxy_fixture::entry(0);
    other_run.started_at_ms = 2;
    fixture.core.upstreams().upsert(fixture.now, other_run);
    fixture.request();
    fixture.single_action<start_attempt_action>();
}

//! Guards against requests to an upstream that wants none for a time.
TEST_CASE(
    "[GIVEN] an upstream that turns requests away for a time [WHEN] requests go on [THEN] it gets none until "
    "then, and a single one first",
    "[proxy][pattern: upstreams turn requests away]")
{
    proxy_fixture fixture(1);
    fixture.request();
    auto turned_away = rejected();
    turned_away.signals = placement::upstream_signals{{}, false, std::chrono::seconds(4)};
    fixture.finish_attempt(fixture.single_action<start_attempt_action>(), turned_away);
    fixture.core.take_actions();
    const auto paused_at = fixture.now;
    int sent = 0;
    while (fixture.now - paused_at < std::chrono::seconds(6)) {
        fixture.now += milliseconds(20);
        fixture.core.on_tick(fixture.now);
        fixture.request(1, milliseconds(900));
        for (const auto& action : fixture.core.take_actions()) {
            if (std::holds_alternative<start_attempt_action>(action)) {
                ++sent;
                CHECK(fixture.now - paused_at >= std::chrono::seconds(4));
                CHECK(fixture.now - paused_at <= milliseconds(5200));
            }
        }
    }
    CHECK(sent == 1);
}

//! Guards against reports that do not reach the learned capacity, and against notes where learning is off.
TEST_CASE(
    "[GIVEN] an upstream that becomes slower than the others [WHEN] its responses have load reports [THEN] "
    "the change is noted once and only where learning is on",
    "[proxy]")
{
    for (const bool is_on : {false, true}) {
        proxy_configuration configuration;
        configuration.placement.learns_capacity = is_on;
        proxy_fixture fixture(4, configuration);
        int notes = 0;
        for (std::uint64_t object = 0; object < 400; ++object) {
            fixture.request(object);
            const auto attempt = fixture.single_action<start_attempt_action>();
            const bool is_slow = attempt.upstream == proxy_fixture::entry(0).id;
            fixture.now += milliseconds(is_slow ? 300 : 50);
            auto outcome = success();
            outcome.load = placement::load_report{0, 0, 2};
            fixture.finish_attempt(attempt, outcome);
            for (const auto& action : fixture.core.take_actions()) {
                const auto* changed = std::get_if<capacity_changed_action>(&action);
                notes += changed != nullptr && changed->learned.upstream == attempt.upstream && is_slow;
            }
        }
        CHECK(notes >= (is_on ? 1 : 0));
        CHECK(notes <= (is_on ? 4 : 0));
        CHECK(fixture.core.learned_capacities(fixture.now).size() == (is_on ? 4 : 0));
    }
}
