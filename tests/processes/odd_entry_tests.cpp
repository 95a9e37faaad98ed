#include <algorithm>
#include <array>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "deployment.h"

using namespace buckthornhill;
using buckthornhill::testing::deployment;
namespace json = boost::json;

namespace {
//! Puts `odd` before the entries under `key`.
void prepend(json::value& document, const char* key, const std::vector<json::value>& odd)
{
    json::array entries(odd.begin(), odd.end());
    for (const auto& entry : document.at(key).as_array()) {
        entries.push_back(entry);
    }
    document.as_object()[key] = std::move(entries);
}
//! Whether each instance serves a request of each service; an instance that has just started may know no
//! upstream of some yet.
bool serves_all(deployment& system)
{
    return std::ranges::all_of(system.daemons(), [&](const auto& instance) {
        return std::ranges::all_of(
            std::array{"queuedesk", "orderdesk", "stockyard"}, [&](const char* service) {
                const auto target = "/" + std::string(service) + "/item/1";
                return system.call(instance.caller_address, "GET", target).status == 200;
            });
    });
}
} // namespace

//! Guards against one odd entry of another writer that hides the list of instances and upstreams from all
//! instances, or ends each of their rounds of messages.
SCENARIO("odd entries stand in the list of instances", "[process]")
{
    // [GIVEN] A deployment
    testing::deployment_options options;
    options.file = std::string(EXAMPLES_DIR) + "/bureau/deployment.json";
    options.daemon_flags = {"--heartbeat-ms=100", "--gone-after-ms=800"};
    deployment system(options);
    system.register_instances();
    REQUIRE(system.wait_until_ready());
    REQUIRE(system.wait_until([&] { return serves_all(system); }, std::chrono::milliseconds(5000)));

    // [WHEN] Entries that name no instance or upstream, or no address, come before the others
    auto document = json::parse(system.call(system.store_address(), "GET", "/v1/instances").body);
    auto entry = document.at("entries").at(0).as_object();
    entry["id"] = "odd &+#% entry";
    entry["peer_address"] = "nowhere";
    auto upstream = document.at("upstreams").at(0).as_object();
    upstream["id"] = "odd &+#% upstream";
    upstream["address"] = "10.0.0.1:70000";
    auto other_upstream = document.at("upstreams").at(0).as_object();
    other_upstream["id"] = "other odd upstream";
    other_upstream["slots"] = "many";
    prepend(document, "entries", {json::value(7), json::object{}, entry});
    prepend(document, "upstreams", {json::value("x"), upstream, other_upstream});
    const auto written =
        system.call(system.store_address(), "PUT", "/control/instances", json::serialize(document));
    REQUIRE(written.status == 200);

    // [THEN] The list is in force everywhere, requests are served, and operators see the instances
    const auto version = std::string(http::find_header(written.headers, "X-Version"));
    REQUIRE(system.wait_until(
        [&] {
            return std::ranges::all_of(system.daemons(), [&](const auto& instance) {
                return system.status_of(instance).find("\"instances\":" + version) != std::string::npos;
            });
        },
        std::chrono::milliseconds(5000)));
    REQUIRE(system.wait_until_ready());
    const auto report = system.run_load(system.make_plan(20, std::chrono::milliseconds(1500)), {});
    INFO(report.table());
    const auto total = report.total();
    CHECK(total.done > 100);
    CHECK(total.not_executed + total.unknown + total.wrong_answers == 0);
    const auto shown = system.run_tool({"status"});
    INFO(shown.output);
    CHECK(shown.exit_code == 0);
    for (const auto& instance : system.daemons()) {
        CHECK(shown.output.find(instance.id) != std::string::npos);
    }
}
