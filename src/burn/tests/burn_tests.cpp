#include <catch2/catch.hpp>

#include "burn/burn_recorder.h"

using namespace buckthornhill;
using namespace buckthornhill::burn;
using std::chrono::milliseconds;
using std::chrono::minutes;

SCENARIO("the burn rate of a hand-worked case", "[burn]")
{
    // [GIVEN] An objective of 99 %, 250 ms, and 200 answers: 190 good, 6 slow, 4 not answered
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
    // [WHEN] The report is made four minutes later, and six minutes later
    const auto soon = recorder.counts(start + minutes(4), service, customer_group::on_plan, minutes(5));
    const auto later = recorder.counts(start + minutes(6), service, customer_group::on_plan, minutes(5));
    // [THEN] 5 % were bad, which burns a budget of 1 % five times too fast, and the short window forgets it
    REQUIRE(soon.bad == 10);
    REQUIRE(burn_rate(soon, 0.99) == Approx(5.0));
    REQUIRE(later.good + later.bad == 0);
    REQUIRE(burn_rate(later, 0.99) == 0);
    REQUIRE(recorder.counts(start + minutes(6), service, customer_group::on_plan, minutes(60)).bad == 10);
    REQUIRE(recorder.counts(start, service, customer_group::off_plan, minutes(60)).good == 0);
}
