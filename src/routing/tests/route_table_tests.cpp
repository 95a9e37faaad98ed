#include <catch2/catch.hpp>

#include "routing/route_table.h"

using namespace buckthornhill;
using namespace buckthornhill::routing;

namespace {
route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.services = {{service_id("orders"), 1}};
    return made;
}

routing_configuration make_configuration(std::uint64_t version, std::vector<route> routes)
{
    routing_configuration configuration;
    configuration.version = configuration_version(version);
    configuration.routes = std::move(routes);
    configuration.services[service_id("orders")].health_path = "/health";
    return configuration;
}
} // namespace

TEST_CASE("[GIVEN] overlapping prefixes [WHEN] a path matches several [THEN] the longest wins", "[routing]")
{
    route_table table;
    table.update_if_newer(make_configuration(1, {make_route("wide", "a.example", "/"),
                                                 make_route("orders", "a.example", "/orders/"),
                                                 make_route("late", "a.example", "/orders/late/")}));

    CHECK(table.find("a.example", "/orders/late/7")->name == "late");
    CHECK(table.find("a.example", "/orders/late")->name == "orders");
    CHECK(table.find("a.example", "/orders")->name == "wide");
    CHECK(table.find("a.example", "/orders/late/")->name == "late");
    CHECK(table.find("b.example", "/orders/7") == nullptr);
    CHECK(table.find("a.example", "") == nullptr);
}

TEST_CASE("[GIVEN] a configuration in force [WHEN] an older one arrives [THEN] it changes nothing",
          "[routing]")
{
    route_table table;
    CHECK_FALSE(table.has_configuration());
    CHECK(table.update_if_newer(make_configuration(5, {make_route("new", "a.example", "/new/")})));

    CHECK_FALSE(table.update_if_newer(make_configuration(4, {make_route("old", "a.example", "/old/")})));
    CHECK_FALSE(table.update_if_newer(make_configuration(5, {make_route("same", "a.example", "/same/")})));

    CHECK(table.version() == configuration_version(5));
    CHECK(table.find("a.example", "/new/1") != nullptr);
    CHECK(table.find("a.example", "/old/1") == nullptr);
    CHECK(table.policy(service_id("orders")) != nullptr);
    CHECK(table.policy(service_id("unknown")) == nullptr);
}

TEST_CASE("[GIVEN] a newer configuration [WHEN] it drops a route [THEN] its path matches nothing",
          "[routing]")
{
    route_table table;
    table.update_if_newer(
        make_configuration(1, {make_route("a", "a.example", "/a/"), make_route("b", "a.example", "/b/")}));
    CHECK(table.update_if_newer(make_configuration(9, {make_route("b", "a.example", "/b/")})));
    CHECK(table.find("a.example", "/a/1") == nullptr);
    CHECK(table.find("a.example", "/b/1") != nullptr);
}
