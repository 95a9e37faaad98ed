#include <catch2/catch.hpp>

#include "admission/service_admission.h"

using namespace buckthornhill;
using namespace buckthornhill::admission;
using std::chrono::milliseconds;

namespace {
const time_point now{std::chrono::seconds(100)};
const service_id orders("orders");

ownership::upstream_description describe(const std::string& id)
{
    ownership::upstream_description upstream;
    upstream.id = upstream_id(id);
    upstream.service = orders;
    upstream.slots = slot_count(2);
    return upstream;
}

service_admission make_service()
{
    return {orders, admission_configuration{}, [] { return std::uint64_t{1}; }};
}

admission_request request(std::uint64_t flow)
{
    admission_request made;
    made.flow = flow_id(flow);
    made.service = orders;
    made.deadline = now + std::chrono::seconds(2);
    return made;
}
} // namespace

TEST_CASE("[GIVEN] a newly owned upstream [WHEN] requests arrive before its first probe ends [THEN] they are "
          "queued",
          "[admission][pattern: a planned stop under load]")
{
    auto service = make_service();
    service.own(now, describe("u1"));
    service.set_admittance(now, upstream_id("u1"), admittance::unverified);

    CHECK(service.offer(now, request(1)).kind == admission_kind::queued);

    service.set_admittance(now + milliseconds(5), upstream_id("u1"), admittance::open);
    service.on_tick(now + milliseconds(5));
    const auto events = service.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].decision.kind == admission_kind::started);
}

TEST_CASE("[GIVEN] only closed upstreams [WHEN] a request arrives [THEN] it is refused immediately",
          "[admission]")
{
    auto service = make_service();
    CHECK(service.offer(now, request(1)).reason == refusal_reason::no_upstream);
    service.own(now, describe("u1"));
    service.set_admittance(now, upstream_id("u1"), admittance::closed);
    CHECK(service.offer(now, request(2)).reason == refusal_reason::no_upstream);
}

TEST_CASE(
    "[GIVEN] a request that waits for a probe [WHEN] the upstream is released [THEN] the request is refused",
    "[admission]")
{
    auto service = make_service();
    service.own(now, describe("u1"));
    service.set_admittance(now, upstream_id("u1"), admittance::unverified);
    REQUIRE(service.offer(now, request(1)).kind == admission_kind::queued);
    service.release(now, upstream_id("u1"));
    const auto events = service.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].decision.reason == refusal_reason::no_upstream);
}
