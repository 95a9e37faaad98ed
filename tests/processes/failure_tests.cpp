#include <csignal>
#include <iostream>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "deployment.h"
#include "http/blocking_call.h"
#include "order_audit.h"

using namespace buckthornhill;
using buckthornhill::testing::deployment;
using buckthornhill::testing::order_audit;
using requests::outcome;
using std::chrono::milliseconds;

namespace {
using event_list = std::vector<std::pair<milliseconds, std::function<void()>>>;

constexpr milliseconds load_length{4000};
constexpr double rate_per_stream = 40;
const std::vector<std::string> quick_detection{"--heartbeat-ms=100", "--gone-after-ms=800",
                                               "--lookup-ttl-ms=300", "--linger-ms=600"};
const std::string bureau = std::string(EXAMPLES_DIR) + "/bureau/deployment.json";

std::unique_ptr<deployment> start_bureau(int service_us = 20000)
{
    testing::deployment_options options;
    options.file = bureau;
    options.daemon_flags = quick_detection;
    options.service_us = service_us;
    auto system = std::make_unique<deployment>(options);
    system->register_instances();
    REQUIRE(system->wait_until_ready());
    return system;
}

struct audited_run
{
    load::load_report report;
    order_audit audit;
    std::map<std::string, std::string> faults;
};

audited_run run_audited(deployment& system, const event_list& events)
{
    audited_run run;
    std::set<std::string> idempotent;
    const auto plan = system.make_plan(rate_per_stream, load_length);
    run.report =
        system.run_load(plan, events, [&](const load::operation& what, const load::operation_result& result) {
            run.audit.on_result(what, result);
            if (what.method == "GET") {
                idempotent.insert(what.order_id);
            }
        });
    run.faults = run.audit.faults(system.execution_log(), idempotent);
    return run;
}

void require_promises(const audited_run& run)
{
    std::string text = run.report.table();
    for (const auto& [order, fault] : run.faults) {
        text.append(order).append(" ").append(fault).append("\n");
    }
    INFO(text);
    REQUIRE(run.faults.empty());
    REQUIRE(run.audit.wrong_answers == 0);
    REQUIRE(run.audit.done.size() > 100);
    WARN(run.report.table());
}
} // namespace

SCENARIO("an instance is killed with orders in flight", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    auto& victim = system->daemons()[4];
    // [WHEN] One instance, an entry and an owner, is killed in the middle
    const auto run =
        run_audited(*system, {{milliseconds(1500), [&victim] { victim.process->signal(SIGKILL); }}});
    // [THEN] No order ran twice, and none ran that was told not to have run
    require_promises(run);
}

SCENARIO("an instance is frozen with orders in flight", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    const auto& victim = system->daemons()[2];
    // [WHEN] One instance is paused for longer than its peers wait, and goes on
    const auto run =
        run_audited(*system, {{milliseconds(1000), [&victim] { victim.process->signal(SIGSTOP); }},
                              {milliseconds(2800), [&victim] { victim.process->signal(SIGCONT); }}});
    // [THEN] The promises hold
    require_promises(run);
}

SCENARIO("the store goes down in the middle", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    // [WHEN] The store stops answering
    const auto run = run_audited(
        *system, {{milliseconds(1000), [&system] { system->set_store_faults(R"({"down":true})"); }}});
    // [THEN] Nothing is refused for it
    require_promises(run);
    REQUIRE(run.report.total().not_executed == 0);
    REQUIRE(run.report.total().unknown == 0);
}

SCENARIO("the store is down from the start", "[process]")
{
    // [GIVEN] Instances that start while the store is down
    testing::deployment_options options;
    options.file = bureau;
    options.daemon_flags = quick_detection;
    options.starts_with_store_down = true;
    deployment system(options);
    system.register_instances();
    const auto& entry = system.daemons()[0];
    // [WHEN] A caller comes [THEN] it is refused honestly, since nobody knows the lists
    const auto early = system.call(entry.caller_address, "GET", "/queuedesk/item/1");
    REQUIRE(early.status == 503);
    REQUIRE(http::find_header(early.headers, "Bth-Outcome") == "not-executed");
    REQUIRE(http::find_header(early.headers, "Bth-Reason") == "resynchronizing");
    // [WHEN] The store comes back [THEN] all instances serve
    system.set_store_faults("{}");
    REQUIRE(system.wait_until_ready());
    REQUIRE(system.wait_until(
        [&] { return system.call(entry.caller_address, "GET", "/queuedesk/item/1").status == 200; },
        milliseconds(5000)));
}

SCENARIO("a caller that leaves frees the slot of its look-up", "[process]")
{
    // [GIVEN] A look-up that takes a second
    const auto system = start_bureau(1000000);
    const auto are_all_cancelled = [&system] {
        const auto counts = boost::json::parse(system->call_upstreams("GET", "/control/counts").body);
        std::uint64_t runs = 0;
        std::uint64_t cancelled = 0;
        for (const auto& member : counts.as_object()) {
            runs += member.value().at("runs").to_number<std::uint64_t>();
            cancelled += member.value().at("cancelled").to_number<std::uint64_t>();
        }
        return runs > 0 && runs == cancelled;
    };
    // [WHEN] Its caller closes the connection after 200 ms
    const auto result = http::call_and_wait(http::parse_endpoint(system->daemons()[0].caller_address),
                                            {"GET", "/queuedesk/item/1", {}, ""}, milliseconds(200));
    REQUIRE(result.status == http::call_status::timed_out);
    // [THEN] Every upstream that ran it, late tries included, is told and stops before it is done
    REQUIRE(system->wait_until(are_all_cancelled, milliseconds(700)));
}

SCENARIO("a replaced instance starts while the store is down", "[process]")
{
    // [GIVEN] A running deployment whose store is down after a list was accepted
    const auto system = start_bureau();
    REQUIRE(system->put_document("plans", R"({"plans":["crew"],"customers":[],"calls":[]})") == 200);
    REQUIRE(system->wait_until(
        [&] {
            return system->status_of(system->daemons()[0]).find(R"("plans":1)") != std::string::npos &&
                   system->status_of(system->daemons()[1]).find(R"("plans":1)") != std::string::npos;
        },
        milliseconds(5000)));
    system->set_store_faults(R"({"down":true})");
    // [WHEN] A new instance starts and knows one peer from its settings
    const auto& fresh = system->start_daemon("entry-new", "luzon", "luzon-a",
                                             {"--seed-peers=" + system->daemons()[0].peer_address});
    // [THEN] It takes the version in force from its peers and serves
    REQUIRE(system->wait_until(
        [&] {
            const auto status = system->status_of(fresh);
            return status.find(R"("plans":1)") != std::string::npos &&
                   status.find(R"("is_resynchronizing":false)") != std::string::npos;
        },
        milliseconds(8000)));
    const auto answer = system->call(fresh.caller_address, "GET", "/queuedesk/item/1");
    REQUIRE(answer.status == 200);
    REQUIRE(http::find_header(answer.headers, "Bth-Outcome") == "done");
}

SCENARIO("all instances of a region are lost", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    // [WHEN] The three instances of one region are killed at once, and the store goes down with them
    const auto lose_region = [&system] {
        system->set_store_faults(R"({"down":true})");
        for (auto& daemon : system->daemons()) {
            if (daemon.region == "luzon") {
                daemon.process->signal(SIGKILL);
            }
        }
    };
    const auto run = run_audited(*system, {{milliseconds(1000), lose_region}});
    // [THEN] The promises hold, and the other regions answer that region's callers
    require_promises(run);
    const auto answer = system->call(system->daemons()[2].caller_address, "GET", "/queuedesk/item/1", "",
                                     {{"Bth-Region", "luzon"}});
    REQUIRE(http::find_header(answer.headers, "Bth-Outcome") == "done");
}

SCENARIO("a planned stop under load cuts nothing", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    auto& leaver = system->daemons()[3];
    // [WHEN] One instance is asked to stop
    const auto run =
        run_audited(*system, {{milliseconds(1000), [&leaver] { leaver.process->signal(SIGTERM); }}});
    const auto exit_code = leaver.process->wait();
    // [THEN] It ends well, and every request was answered as done
    INFO(run.report.json());
    require_promises(run);
    REQUIRE(exit_code == 0);
    REQUIRE(run.report.total().unknown == 0);
    REQUIRE(run.report.total().not_executed == 0);
}

SCENARIO("a leaving upstream gets no new work after 3 s and nothing is cut", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    std::uint64_t runs_at_limit = 0;
    const auto runs_of_leaver = [&system] {
        const auto counts = boost::json::parse(system->call_upstreams("GET", "/control/counts").body);
        return static_cast<std::uint64_t>(counts.at("orderdesk-17").at("runs").to_number<std::uint64_t>());
    };
    // [WHEN] An upstream says that it drains
    const auto run = run_audited(
        *system,
        {{milliseconds(500), [&] { system->call_upstreams("POST", "/control/drain?id=orderdesk-17"); }},
         {milliseconds(3500), [&] { runs_at_limit = runs_of_leaver(); }}});
    // [THEN] Its count of runs stands still after 3 s, and no request was cut
    require_promises(run);
    REQUIRE(runs_of_leaver() == runs_at_limit);
    REQUIRE(run.report.total().unknown == 0);
}

SCENARIO("a request that crashes upstreams is refused after two", "[process]")
{
    // [GIVEN] A running deployment
    const auto system = start_bureau(2000);
    std::set<std::string> answers;
    const auto reason_at = [&](const testing::daemon_instance& entry) {
        const auto ticket = system->call(entry.caller_address, "POST", "/orderdesk/crash-upstream", "x");
        const auto name = std::string(http::find_header(ticket.headers, "Bth-Tickets"));
        const auto answer = system->call(entry.caller_address, "POST", "/orderdesk/crash-upstream", "x",
                                         {{"Bth-Ticket", name.substr(0, name.find('+'))}});
        answers.emplace(http::find_header(answer.headers, "Bth-Outcome"));
        return std::string(http::find_header(answer.headers, "Bth-Reason"));
    };
    // [WHEN] Its caller sends the same request again and again, to every instance in turn
    std::size_t sends = 0;
    const auto is_quarantined = [&] {
        const auto& daemons = system->daemons();
        return reason_at(daemons[sends++ % daemons.size()]) == "quarantined";
    };
    REQUIRE(system->wait_until(is_quarantined, milliseconds(8000)));
    // [THEN] Every instance refuses it as not run, two upstreams crashed, and no answer claimed more
    for (const auto& entry : system->daemons()) {
        REQUIRE(reason_at(entry) == "quarantined");
    }
    const auto counts = boost::json::parse(system->call_upstreams("GET", "/control/counts").body);
    std::uint64_t crashes = 0;
    for (const auto& member : counts.as_object()) {
        crashes += member.value().at("crashes").to_number<std::uint64_t>();
    }
    REQUIRE(crashes == 2);
    REQUIRE(answers == std::set<std::string>{"not-executed", "unknown"});
}
