#include <catch2/catch.hpp>

#include "quota/usage_tracker.h"

using namespace buckthornhill;
using namespace buckthornhill::quota;

SCENARIO("a request is classified by its customer's usage in the region", "[quota]")
{
    // [GIVEN] A customer with a quota of 3 slots here, one of them used at another instance
    const time_point now = time_point{} + std::chrono::hours(1);
    const customer_id crews("crews");
    const service_id service("orderdesk");
    lists::plans_list plans{{plan_id("crew")}, {{crews, plan_id("crew")}}, {}};
    lists::quotas_list quotas{{{plan_id("crew"), region_id("luzon"), service, slot_count(3)},
                               {plan_id("crew"), region_id("visayas"), service, slot_count(9)}}};
    usage_tracker tracker(region_id("luzon"));
    tracker.set_lists(plans, quotas);
    tracker.on_peer_usage(now, instance_id("peer"), {{crews, service, slot_count(1)}});
    // [WHEN] It uses up its quota [THEN] further requests are above the quota
    tracker.on_start(crews, service);
    REQUIRE(tracker.classify(now, crews, service) == request_class::within_quota);
    tracker.on_start(crews, service);
    REQUIRE(tracker.classify(now, crews, service) == request_class::above_quota);
    // [THEN] Other customers are on no plan, and requests to a service without a quota are above the quota
    REQUIRE(tracker.classify(now, customer_id("x"), service) == request_class::no_plan);
    REQUIRE(tracker.classify(now, crews, service_id("stockyard")) == request_class::above_quota);
    // [WHEN] The peer's report has expired, or a request ends [THEN] the customer is within its quota again
    REQUIRE(tracker.classify(now + std::chrono::seconds(4), crews, service) == request_class::within_quota);
    tracker.on_finish(crews, service);
    REQUIRE(tracker.classify(now, crews, service) == request_class::within_quota);
}
