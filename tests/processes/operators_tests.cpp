#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "deployment.h"

using namespace buckthornhill;
using buckthornhill::testing::deployment;
using std::chrono::milliseconds;

namespace {
const std::string bureau_folder = std::string(EXAMPLES_DIR) + "/bureau";

std::string read_example(const std::string& name)
{
    std::ifstream file(bureau_folder + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::unique_ptr<deployment> start_with_lists()
{
    testing::deployment_options options;
    options.file = bureau_folder + "/deployment.json";
    options.daemon_flags = {"--heartbeat-ms=100", "--gone-after-ms=800"};
    auto system = std::make_unique<deployment>(options);
    system->register_instances();
    REQUIRE(system->wait_until_ready());
    const auto plans = system->run_tool({"lists", "apply", "plans", bureau_folder + "/plans.json"});
    INFO(plans.output);
    REQUIRE(plans.exit_code == 0);
    const auto quotas =
        system->run_tool({"lists", "apply", "quotas", bureau_folder + "/quotas.json", "--wait"});
    INFO(quotas.output);
    REQUIRE(quotas.exit_code == 0);
    return system;
}

std::string replace_first(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::size_t count_occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}
} // namespace

SCENARIO("operators edit the lists", "[process]")
{
    // [GIVEN] A deployment with the example's lists in force on all instances
    const auto system = start_with_lists();
    const auto raised_quotas = system->write_file(
        "more.json", replace_first(read_example("quotas.json"), R"("slots": 8)", R"("slots": 9)"));

    // [WHEN] The store's response to a write is lost after the write took effect
    system->set_store_faults(R"({"lost_write_answers":1})");
    const auto edit_without_response =
        system->run_tool({"lists", "apply", "quotas", raised_quotas, "--timeout-ms", "300", "--wait"});
    // [THEN] The tool finds its edit in the store and reports it as accepted; the history has it once
    INFO(edit_without_response.output);
    REQUIRE(edit_without_response.exit_code == 0);
    REQUIRE(edit_without_response.output.find("version 2 is accepted and in force") != std::string::npos);
    REQUIRE(count_occurrences(system->run_tool({"lists", "history", "quotas"}).output, "edit-") == 2);

    // [WHEN] Two operators edit the same version
    const auto first = system->run_tool({"lists", "apply", "quotas", raised_quotas, "--expect", "2"});
    const auto second = system->run_tool({"lists", "apply", "quotas", raised_quotas, "--expect", "2"});
    // [THEN] The first edit is accepted, and the second is refused with the current version
    REQUIRE(first.exit_code == 0);
    REQUIRE(second.exit_code == 3);
    REQUIRE(second.output.find("version 3") != std::string::npos);

    // [WHEN] A quota is lowered
    const auto lowered_quotas =
        system->run_tool({"lists", "apply", "quotas", bureau_folder + "/quotas.json"});
    // [THEN] The customer has to be called first; once the call is recorded, the edit is accepted
    REQUIRE(lowered_quotas.exit_code == 4);
    REQUIRE(lowered_quotas.output.find("market-masters about quota:luzon/queuedesk") != std::string::npos);
    REQUIRE(system->run_tool({"calls", "record", "market-masters", "quota:luzon/queuedesk"}).exit_code == 0);
    REQUIRE(system->run_tool({"lists", "apply", "quotas", bureau_folder + "/quotas.json"}).exit_code == 0);

    // [WHEN] The store is down
    system->set_store_faults(R"({"down":true})");
    const auto unreachable = system->run_tool({"lists", "get", "plans", "--timeout-ms", "300"});
    // [THEN] The tool reports that the store does not answer
    REQUIRE(unreachable.exit_code == 1);
    REQUIRE(unreachable.output.find("does not answer") != std::string::npos);
}

SCENARIO("a drain that would slow customers waits for the calls", "[process]")
{
    // [GIVEN] A deployment with customers on plans
    const auto system = start_with_lists();
    const auto& luzon = system->daemons()[0];
    const auto status_shows = [&](const std::string& text) {
        return system->wait_until([&] { return system->status_of(luzon).find(text) != std::string::npos; },
                                  milliseconds(5000));
    };
    // [WHEN] A drain of one failure domain leaves enough slots for the quotas
    const auto partial_drain = system->run_tool({"drain", "start", "small", "domain", "luzon-b"});
    // [THEN] It takes effect
    INFO(partial_drain.output);
    REQUIRE(partial_drain.exit_code == 0);
    REQUIRE(partial_drain.output.find("takes effect at once") != std::string::npos);
    REQUIRE(status_shows(R"("target":"luzon-b","state":"in-effect")"));

    // [WHEN] A second drain covers the rest of the region
    const auto dry_run = system->run_tool({"drain", "start", "rest", "domain", "luzon-a", "--dry-run"});
    const auto region_drain = system->run_tool({"drain", "start", "rest", "domain", "luzon-a"});
    // [THEN] It waits, and the tool names the customers that must be called
    REQUIRE(dry_run.output.find("Dry run") != std::string::npos);
    REQUIRE(region_drain.output.find("repair-crews about drain:rest") != std::string::npos);
    REQUIRE(region_drain.output.find("market-masters about drain:rest") != std::string::npos);
    REQUIRE(status_shows(R"("target":"luzon-a","state":"waiting-for-calls")"));
    REQUIRE(system->call(luzon.caller_address, "GET", "/queuedesk/item/1").status == 200);

    // [WHEN] Both calls are recorded
    REQUIRE(system->run_tool({"calls", "record", "repair-crews", "drain:rest"}).exit_code == 0);
    REQUIRE(status_shows(R"("plans":2)"));
    REQUIRE(system->run_tool({"drain", "status"}).output.find("waiting-for-calls") != std::string::npos);
    REQUIRE(system->run_tool({"calls", "record", "market-masters", "drain:rest"}).exit_code == 0);
    // [THEN] The drain takes effect
    REQUIRE(status_shows(R"("target":"luzon-a","state":"in-effect")"));
}

SCENARIO("wrong lists are refused with the place of the error", "[process]")
{
    // [GIVEN] A deployment, and lists with one error each
    const auto system = start_with_lists();
    const std::vector<std::tuple<std::string, std::string, std::string>> cases{
        {"quotas", "{", "quotas: not valid JSON"},
        {"quotas", R"({"quotas":[{"plan":"crew"}]})", "quotas.quotas[0].region: missing"},
        {"quotas", R"({"quotas":[{"plan":"x","region":"luzon","service":"orderdesk","slots":1}]})",
         "quotas.quotas[0].plan: unknown plan 'x'"},
        {"quotas", R"({"quotas":[{"plan":"crew","region":"mars","service":"orderdesk","slots":1}]})",
         "quotas.quotas[0].region: unknown region 'mars'"},
        {"quotas", R"({"quotas":[{"plan":"crew","region":"luzon","service":"orderdesk","slots":-1}]})",
         "quotas.quotas[0].slots: must be from 0"},
        {"quotas", R"({"quotas":[{"plan":"crew","region":"luzon","service":"orderdesk","slots":99}]})",
         "region luzon, service orderdesk: customers may use 99 slots, but 6 remain"},
        {"quotas", R"({"qoutas":[]})", "quotas.qoutas: unknown key"},
        {"plans", R"({"plans":["a","a"]})", "plans.plans[1]: plan 'a' appears twice"},
        {"plans", R"({"plans":["a"],"customers":[{"name":"c","plan":"b"}]})",
         "plans.customers[0].plan: unknown plan 'b'"},
        {"plans", R"({"plans":["a"],"customers":[{"name":"","plan":"a"}]})",
         "plans.customers[0].name: must not be empty"},
    };
    for (const auto& [name, body, message] : cases) {
        // [WHEN] One is applied
        const auto file = system->write_file("wrong.json", body);
        const auto result = system->run_tool({"lists", "apply", name, file});
        // [THEN] It is refused, and the message names the error and its location
        INFO(body << "\n" << result.output);
        REQUIRE(result.exit_code == 4);
        REQUIRE(result.output.find(message) != std::string::npos);
    }
    REQUIRE(system->run_tool({"lists", "history", "quotas"}).output.find("version 1") == 0);
}
