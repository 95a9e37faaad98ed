#include <catch2/catch.hpp>

#include "burn/burn_recorder.h"

using namespace buckthornhill;
using namespace buckthornhill::burn;
using std::chrono::milliseconds;
using std::chrono::minutes;

SCENARIO("burn rates match values calculated by hand", "[burn]")
{
    // [GIVEN] An objective of 99 %, 250 ms, and 200 requests: 190 good, 6 slow, 4 not done
    burn_recorder recorder({0.99, milliseconds(250)});
    const service_id service("orderdesk");
    const time_point start = time_point{} + minutes(1000);
    for (int i = 0; i < 190; ++i) {
        recorder.record_response(start, service, customer_group::on_plan, true, milliseconds(250));
    }
    for (int i = 0; i < 6; ++i) {
        recorder.record_response(start, service, customer_group::on_plan, true, milliseconds(251));
    }
    for (int i = 0; i < 4; ++i) {
        recorder.record_response(start, service, customer_group::on_plan, false, milliseconds(1));
    }
    // [WHEN] The counts are read four minutes and six minutes later
    const auto soon = recorder.counts(start + minutes(4), service, customer_group::on_plan, minutes(5));
    const auto later = recorder.counts(start + minutes(6), service, customer_group::on_plan, minutes(5));
    // [THEN] 5 % were bad, five times the budget of 1 %, and after six minutes the 5-minute window is empty
    REQUIRE(soon.bad == 10);
    REQUIRE(burn_rate(soon, 0.99) == Approx(5.0));
    REQUIRE(later.good + later.bad == 0);
    REQUIRE(burn_rate(later, 0.99) == 0);
    REQUIRE(recorder.counts(start + minutes(6), service, customer_group::on_plan, minutes(60)).bad == 10);
    REQUIRE(recorder.counts(start, service, customer_group::off_plan, minutes(60)).good == 0);
}
