#include <catch2/catch.hpp>

#include "steering/owner_selector.h"

using namespace buckthornhill;
using namespace buckthornhill::steering;
using std::chrono::milliseconds;

namespace {
const service_id service("orderdesk");
const instance_id local_owner("here");
const instance_id remote_owner("there");
const time_point start = time_point{} + std::chrono::hours(1);

admission::service_report report_of(std::int64_t in_flight, std::int64_t queued, std::int64_t mean_ms)
{
    admission::service_report report;
    report.service = service;
    report.limit = 6;
    report.slots = 6;
    report.in_flight = in_flight;
    report.queued = queued;
    report.mean_service_us = mean_ms * 1000;
    return report;
}

owner_selector make_selector(steering_policy policy)
{
    steering_configuration configuration;
    configuration.policy = policy;
    return {local_owner,
            {region_id("luzon"), domain_id("luzon-a")},
            configuration,
            [n = std::uint64_t{0}]() mutable { return n++; }};
}

void report(owner_selector& selector, time_point now, const admission::service_report& local,
            std::int64_t credits)
{
    selector.on_report(now, local_owner, {region_id("luzon"), domain_id("luzon-a")}, local, 0);
    selector.on_report(now, remote_owner, {region_id("visayas"), domain_id("visayas-a")}, report_of(0, 0, 20),
                       credits);
}
} // namespace

SCENARIO("requests stay in the region until the wait exceeds the round trip to another region", "[steering]")
{
    // [GIVEN] Two regions with a one-way delay of 12 ms, and credits in the other one
    auto selector = make_selector(steering_policy::latency);
    // [WHEN] The wait here is below the round trip [THEN] requests stay
    report(selector, start, report_of(6, 4, 20), 3);
    REQUIRE(selector.choose(start, service, {}, {}).owner == local_owner);
    // [WHEN] The wait exceeds the round trip [THEN] requests go to the other region until its credits are
    // used up
    report(selector, start + milliseconds(500), report_of(6, 20, 20), 1);
    const auto now = start + milliseconds(510);
    REQUIRE(selector.choose(now, service, {}, {}).is_remote);
    selector.on_sent(remote_owner, service);
    REQUIRE(selector.choose(now, service, {}, {}).owner == local_owner);
    REQUIRE(selector.wanted_credits(now, service) == 1);
    selector.on_returned(remote_owner, service);
    // [WHEN] The wait falls briefly [THEN] the shift continues until its minimum duration is over
    report(selector, start + milliseconds(1000), report_of(1, 0, 20), 1);
    REQUIRE(selector.is_shifting(service));
    selector.choose(start + milliseconds(1010), service, {}, {});
    REQUIRE(selector.is_shifting(service));
    report(selector, start + milliseconds(3000), report_of(1, 0, 20), 1);
    selector.choose(start + milliseconds(3010), service, {}, {});
    REQUIRE_FALSE(selector.is_shifting(service));
}

SCENARIO("the headroom policy shifts before requests have to wait", "[steering]")
{
    // [GIVEN] A region with 5 of 6 slots in use
    auto headroom = make_selector(steering_policy::headroom);
    auto latency = make_selector(steering_policy::latency);
    report(headroom, start, report_of(5, 0, 20), 2);
    report(latency, start, report_of(5, 0, 20), 2);
    // [WHEN] A request arrives [THEN] the headroom policy, used by the Bureau, sends it to the other region,
    // and the latency policy keeps it
    REQUIRE(headroom.choose(start, service, {}, {}).is_remote);
    REQUIRE(latency.choose(start, service, {}, {}).owner == local_owner);
}

SCENARIO("a request that another region refuses is served in its own region", "[steering]")
{
    // [GIVEN] A busy region, and credits at two owners of another one
    auto selector = make_selector(steering_policy::headroom);
    report(selector, start, report_of(5, 0, 20), 2);
    const instance_id second_remote_owner("farther");
    selector.on_report(start, second_remote_owner, {region_id("visayas"), domain_id("visayas-b")},
                       report_of(0, 0, 20), 2);
    REQUIRE(selector.choose(start, service, {}, {}).is_remote);
    // [WHEN] One of them refuses [THEN] the request is not sent to the other one, which might refuse it too
    REQUIRE(selector.choose(start, service, {}, {remote_owner}).owner == local_owner);
    // [WHEN] No owner in this region can serve it [THEN] it is sent to the other one
    REQUIRE(selector.choose(start, service, {}, {remote_owner, local_owner}).owner == second_remote_owner);
}

SCENARIO("owners without a valid report are not chosen", "[steering]")
{
    // [GIVEN] Reports that are older than their lifetime [WHEN] a request arrives [THEN] no owner is chosen
    auto selector = make_selector(steering_policy::latency);
    report(selector, start, report_of(0, 0, 20), 3);
    REQUIRE(selector.choose(start + milliseconds(3001), service, {}, {}).owner.empty());
}

SCENARIO("the owner with a warm cache is preferred while it has free slots", "[steering]")
{
    // [GIVEN] Two owners in the region, the preferred one busier
    auto selector = make_selector(steering_policy::latency);
    const instance_id preferred_owner("warm");
    selector.on_report(start, local_owner, {region_id("luzon"), domain_id("luzon-a")}, report_of(0, 0, 20),
                       0);
    selector.on_report(start, preferred_owner, {region_id("luzon"), domain_id("luzon-b")},
                       report_of(5, 0, 20), 0);
    REQUIRE(selector.choose(start, service, preferred_owner, {}).owner == preferred_owner);
    // [WHEN] It is full [THEN] the other one is chosen
    selector.on_sent(preferred_owner, service);
    REQUIRE(selector.choose(start, service, preferred_owner, {preferred_owner}).owner == local_owner);
}
