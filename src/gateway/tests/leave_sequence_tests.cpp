#include <catch2/catch.hpp>

#include "gateway/leave_sequence.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
const time_point start{std::chrono::seconds(50)};
const leave_configuration configuration{milliseconds(2000), milliseconds(6000)};
} // namespace

TEST_CASE("[GIVEN] a serving instance [WHEN] it is not stopped [THEN] it accepts requests and never ends",
          "[gateway]")
{
    const leave_sequence leave;
    CHECK_FALSE(leave.is_leaving());
    CHECK(leave.accepts_request(start + std::chrono::hours(1), start + std::chrono::hours(2)));
    CHECK_FALSE(leave.is_over(start + std::chrono::hours(1), false));
}

TEST_CASE("[GIVEN] a stop [WHEN] callers use old look-up responses [THEN] they are served for half the grace "
          "period",
          "[gateway][pattern: machines are stopped in turn under load]")
{
    leave_sequence leave;
    leave.begin(start, configuration);
    CHECK(leave.is_leaving());
    const auto end = start + milliseconds(4000);
    CHECK(leave.accepts_request(start + milliseconds(2999), end));
    CHECK_FALSE(leave.accepts_request(start + milliseconds(3000), end));
}

//! Guards against requests that a stopping instance passes on and cuts off at the end of the grace period.
TEST_CASE("[GIVEN] a stop [WHEN] a request may last longer than the process [THEN] it is not accepted",
          "[gateway]")
{
    leave_sequence leave;
    leave.begin(start, configuration);
    CHECK(leave.accepts_request(start, start + milliseconds(5600)));
    CHECK_FALSE(leave.accepts_request(start, start + milliseconds(5601)));
    CHECK(leave.accepts_request(start + milliseconds(2600), start + milliseconds(5600)));
    CHECK_FALSE(leave.accepts_request(start + milliseconds(2700), start + milliseconds(5700)));
}

TEST_CASE(
    "[GIVEN] a stop [WHEN] nothing is in progress [THEN] it ends once old look-up responses have expired",
    "[gateway]")
{
    leave_sequence leave;
    leave.begin(start, configuration);
    CHECK_FALSE(leave.is_over(start + milliseconds(1999), false));
    CHECK(leave.is_over(start + milliseconds(2000), false));
}

TEST_CASE(
    "[GIVEN] a stop [WHEN] a request is in progress [THEN] the process waits until the grace is nearly over",
    "[gateway][pattern: each machine is stopped while it answers a request]")
{
    leave_sequence leave;
    leave.begin(start, configuration);
    CHECK_FALSE(leave.is_over(start + milliseconds(5600), true));
    CHECK(leave.is_over(start + milliseconds(5700), true));
}

TEST_CASE("[GIVEN] a stop in progress [WHEN] a second signal arrives [THEN] the first one stays in effect",
          "[gateway]")
{
    leave_sequence leave;
    leave.begin(start, configuration);
    leave.begin(start + milliseconds(2500), configuration);
    CHECK_FALSE(leave.accepts_request(start + milliseconds(3000), start + milliseconds(3500)));
}
