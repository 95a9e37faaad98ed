#include <catch2/catch.hpp>

#include "health/health_monitor.h"

using namespace buckthornhill;
using namespace buckthornhill::health;
using std::chrono::milliseconds;

SCENARIO("at most a third of a service is ejected for its health", "[health]")
{
    // [GIVEN] An owner of 4 of a service's 6 upstreams, one of the others ejected elsewhere
    health_monitor monitor({});
    const service_id service("queuedesk");
    const time_point now = time_point{} + std::chrono::hours(1);
    for (int i = 0; i < 4; ++i) {
        monitor.add(now, upstream_id("u" + std::to_string(i)), service);
        monitor.on_success(now, upstream_id("u" + std::to_string(i)));
    }
    monitor.set_service_counts(service, 6, 1);
    // [WHEN] All of its upstreams fail repeatedly
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 4; ++i) {
            monitor.on_failure(now, upstream_id("u" + std::to_string(i)));
        }
    }
    // [THEN] One is ejected, together with the other a third, and all of the owner's upstreams count as
    // failing
    REQUIRE(monitor.ejected_count(service) == 1);
    REQUIRE(monitor.are_all_failing());
    // [WHEN] It answers a probe again [THEN] it is no longer ejected
    REQUIRE(monitor.on_success(now, upstream_id("u0")));
    REQUIRE(monitor.ejected_count(service) == 0);
}

SCENARIO("live traffic replaces probes, and only quiet upstreams are probed", "[health]")
{
    // [GIVEN] Two upstreams that answered their first probe, one of them busy since
    health_monitor monitor({});
    const time_point start = time_point{} + std::chrono::hours(1);
    const upstream_id busy("busy");
    const upstream_id quiet("quiet");
    monitor.add(start, busy, service_id("s"));
    monitor.add(start, quiet, service_id("s"));
    REQUIRE(monitor.condition_of(busy) == condition::unverified);
    REQUIRE(monitor.collect_due_probes(start).size() == 2);
    REQUIRE(monitor.on_success(start, busy));
    REQUIRE(monitor.on_success(start, quiet));
    monitor.on_success(start + milliseconds(1900), busy);
    // [WHEN] Two seconds have passed [THEN] the quiet one alone is due, once
    const auto due = monitor.collect_due_probes(start + milliseconds(2100));
    REQUIRE(due == std::vector<upstream_id>{quiet});
    REQUIRE(monitor.collect_due_probes(start + milliseconds(2200)).empty());
    // [WHEN] It announces that it is leaving [THEN] that is kept after this instance no longer owns it
    REQUIRE(monitor.mark_leaving(quiet));
    monitor.remove(quiet);
    REQUIRE(monitor.condition_of(quiet) == condition::leaving);
}
