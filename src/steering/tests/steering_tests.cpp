#include <catch2/catch.hpp>

#include "steering/owner_selector.h"

using namespace buckthornhill;
using namespace buckthornhill::steering;
using std::chrono::milliseconds;

namespace {
const service_id service("orderdesk");
const instance_id here("here");
const instance_id there("there");
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

owner_selector make_selector(weighing weigh)
{
    steering_configuration configuration;
    configuration.weigh = weigh;
    return {here,
            {region_id("luzon"), domain_id("luzon-a")},
            configuration,
            [n = std::uint64_t{0}]() mutable { return n++; }};
}

void report(owner_selector& selector, time_point now, const admission::service_report& local,
            std::int64_t credits)
{
    selector.on_report(now, here, {region_id("luzon"), domain_id("luzon-a")}, local, 0);
    selector.on_report(now, there, {region_id("visayas"), domain_id("visayas-a")}, report_of(0, 0, 20),
                       credits);
}
} // namespace

SCENARIO("requests stay near until waiting costs more than the distance", "[steering]")
{
    // [GIVEN] Regions 12 ms apart, one way, and credit in the other one
    auto selector = make_selector(weighing::latency);
    // [WHEN] The wait here is below the way there and back [THEN] requests stay
    report(selector, start, report_of(6, 4, 20), 3);
    REQUIRE(selector.choose(start, service, {}, {}).owner == here);
    // [WHEN] It is above [THEN] they go where the credit is, and only while it lasts
    report(selector, start + milliseconds(500), report_of(6, 20, 20), 1);
    const auto now = start + milliseconds(510);
    REQUIRE(selector.choose(now, service, {}, {}).is_remote);
    selector.on_sent(there, service);
    REQUIRE(selector.choose(now, service, {}, {}).owner == here);
    REQUIRE(selector.wanted_credits(now, service) == 1);
    selector.on_returned(there, service);
    // [WHEN] The wait falls for a moment [THEN] the shift goes on until its hold is over
    report(selector, start + milliseconds(1000), report_of(1, 0, 20), 1);
    REQUIRE(selector.is_shifting(service));
    selector.choose(start + milliseconds(1010), service, {}, {});
    REQUIRE(selector.is_shifting(service));
    report(selector, start + milliseconds(3000), report_of(1, 0, 20), 1);
    selector.choose(start + milliseconds(3010), service, {}, {});
    REQUIRE_FALSE(selector.is_shifting(service));
}

SCENARIO("weighing headroom shifts before anything waits", "[steering]")
{
    // [GIVEN] A region with 5 of 6 slots in use
    auto headroom = make_selector(weighing::headroom);
    auto latency = make_selector(weighing::latency);
    report(headroom, start, report_of(5, 0, 20), 2);
    report(latency, start, report_of(5, 0, 20), 2);
    // [WHEN] A request comes [THEN] the Bureau's policy sends it away, the one for latency keeps it
    REQUIRE(headroom.choose(start, service, {}, {}).is_remote);
    REQUIRE(latency.choose(start, service, {}, {}).owner == here);
}

SCENARIO("a shift that another region refuses ends at home", "[steering]")
{
    // [GIVEN] A busy region, and credit at two owners of another one
    auto selector = make_selector(weighing::headroom);
    report(selector, start, report_of(5, 0, 20), 2);
    const instance_id farther("farther");
    selector.on_report(start, farther, {region_id("visayas"), domain_id("visayas-b")}, report_of(0, 0, 20),
                       2);
    REQUIRE(selector.choose(start, service, {}, {}).is_remote);
    // [WHEN] One of them refuses [THEN] the request is not carried from one refusal to the next
    REQUIRE(selector.choose(start, service, {}, {there}).owner == here);
    // [WHEN] Nobody here can take it [THEN] the other one may
    REQUIRE(selector.choose(start, service, {}, {there, here}).owner == farther);
}

SCENARIO("no measurement, no choice", "[steering]")
{
    // [GIVEN] Reports that are older than their lifetime [WHEN] a request comes [THEN] no owner is chosen
    auto selector = make_selector(weighing::latency);
    report(selector, start, report_of(0, 0, 20), 3);
    REQUIRE(selector.choose(start + milliseconds(3001), service, {}, {}).owner.empty());
}

SCENARIO("the owner with a warm cache comes first while it has room", "[steering]")
{
    // [GIVEN] Two owners in the region, the preferred one busier
    auto selector = make_selector(weighing::latency);
    const instance_id warm("warm");
    selector.on_report(start, here, {region_id("luzon"), domain_id("luzon-a")}, report_of(0, 0, 20), 0);
    selector.on_report(start, warm, {region_id("luzon"), domain_id("luzon-b")}, report_of(5, 0, 20), 0);
    REQUIRE(selector.choose(start, service, warm, {}).owner == warm);
    // [WHEN] It is full [THEN] the other one is taken
    selector.on_sent(warm, service);
    REQUIRE(selector.choose(start, service, warm, {warm}).owner == here);
}
