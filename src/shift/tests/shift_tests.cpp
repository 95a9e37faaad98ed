#include <catch2/catch.hpp>

#include "shift/shift_limiter.h"

using namespace buckthornhill;
using namespace buckthornhill::shift;
using std::chrono::milliseconds;

namespace {
const service_id service("orderdesk");
const region_id visayas("visayas");
const time_point start = time_point{} + std::chrono::hours(1);
} // namespace

SCENARIO("the shares of all owners together stay within the cap", "[shift]")
{
    // [GIVEN] Two owners of 7 and 5 of 12 slots, a cap of half, and a long shift
    shift_limiter first({});
    shift_limiter second({});
    first.set_service_share(start, service, 7, 12);
    second.set_service_share(start, service, 5, 12);
    std::int64_t last = 0;
    for (int second_count = 0; second_count <= 10; ++second_count) {
        const auto now = start + std::chrono::seconds(second_count);
        first.on_demand(now, service);
        second.on_demand(now, service);
        // [WHEN] The ramp continues [THEN] the sum never falls and never exceeds 6
        const auto sum = first.cap(now, service) + second.cap(now, service);
        REQUIRE(sum <= 6);
        REQUIRE(sum >= last);
        last = sum;
    }
    REQUIRE(last == 5);
    // [WHEN] No requests are shifted any more [THEN] the cap is 0
    REQUIRE(first.cap(start + std::chrono::seconds(30), service) == 0);
}

SCENARIO("the smaller share applies while membership views differ", "[shift]")
{
    // [GIVEN] An owner of 6 slots in a long shift
    shift_limiter limiter({});
    limiter.set_service_share(start, service, 6, 12);
    auto now = start;
    for (int i = 0; i < 8; ++i) {
        now += std::chrono::seconds(1);
        limiter.on_demand(now, service);
    }
    REQUIRE(limiter.cap(now, service) == 3);
    // [WHEN] It takes over another owner's slots [THEN] its share rises only after the settle time
    limiter.set_service_share(now, service, 12, 12);
    REQUIRE(limiter.cap(now + milliseconds(3900), service) == 3);
    limiter.on_demand(now + milliseconds(3950), service);
    REQUIRE(limiter.cap(now + milliseconds(4000), service) == 6);
    // [WHEN] It loses slots [THEN] its share falls at once
    limiter.set_service_share(now + milliseconds(4100), service, 4, 12);
    REQUIRE(limiter.cap(now + milliseconds(4100), service) == 2);
}

SCENARIO("a link closes when its share of bytes is used up", "[shift]")
{
    // [GIVEN] An owner with half of its region's slots: 35e6 x 0.45 x 0.5 bytes a second
    shift_limiter limiter({});
    limiter.set_link_share(start, 5, 10);
    REQUIRE(limiter.link_has_room(start, visayas));
    // [WHEN] One byte more than a quarter of a second's share is sent [THEN] the link is closed until the
    // refill
    limiter.on_bytes(start, visayas, byte_count(1'968'751));
    REQUIRE_FALSE(limiter.link_has_room(start, visayas));
    REQUIRE(limiter.link_has_room(start + milliseconds(10), visayas));
}
