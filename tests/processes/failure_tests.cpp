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

constexpr milliseconds load_duration{4000};
constexpr double requests_per_second = 40;
const std::vector<std::string> fast_detection_flags{"--heartbeat-ms=100", "--gone-after-ms=800",
                                                    "--lookup-ttl-ms=300", "--linger-ms=600"};
const std::string bureau_file = std::string(EXAMPLES_DIR) + "/bureau/deployment.json";

std::unique_ptr<deployment> start_bureau(int service_us = 20000)
{
    testing::deployment_options options;
    options.file = bureau_file;
    options.daemon_flags = fast_detection_flags;
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
    std::map<std::string, std::string> violations;
};

audited_run run_audited(deployment& system, const event_list& events)
{
    audited_run run;
    std::set<std::string> idempotent;
    const auto plan = system.make_plan(requests_per_second, load_duration);
    run.report = system.run_load(plan, events,
                                 [&](const load::operation& operation, const load::operation_result& result) {
                                     run.audit.on_result(operation, result);
                                     if (operation.method == "GET") {
                                         idempotent.insert(operation.order_id);
                                     }
                                 });
    run.violations = run.audit.violations(system.execution_log(), idempotent);
    return run;
}

void require_guarantees(const audited_run& run)
{
    std::string text = run.report.table();
    for (const auto& [order, violation] : run.violations) {
        text.append(order).append(" ").append(violation).append("\n");
    }
    INFO(text);
    REQUIRE(run.violations.empty());
    REQUIRE(run.audit.wrong_answers == 0);
    REQUIRE(run.audit.done.size() > 100);
    WARN(run.report.table());
}
} // namespace

SCENARIO("an instance is killed with orders in flight", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    auto& killed_instance = system->daemons()[4];
    // [WHEN] One instance, which is both an entry instance and an owner, is killed during the load
    const auto run = run_audited(
        *system, {{milliseconds(1500), [&killed_instance] { killed_instance.process->signal(SIGKILL); }}});
    // [THEN] No order ran twice, and no order ran whose caller got the outcome "not-executed"
    require_guarantees(run);
}

SCENARIO("an instance is frozen with orders in flight", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    const auto& frozen_instance = system->daemons()[2];
    // [WHEN] One instance is paused for longer than its peers wait before they remove it, and then resumed
    const auto run = run_audited(
        *system, {{milliseconds(1000), [&frozen_instance] { frozen_instance.process->signal(SIGSTOP); }},
                  {milliseconds(2800), [&frozen_instance] { frozen_instance.process->signal(SIGCONT); }}});
    // [THEN] No guarantee is broken
    require_guarantees(run);
}

SCENARIO("the store goes down under load", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    // [WHEN] The store stops responding
    const auto run = run_audited(
        *system, {{milliseconds(1000), [&system] { system->set_store_faults(R"({"down":true})"); }}});
    // [THEN] No request is refused because of it
    require_guarantees(run);
    REQUIRE(run.report.total().not_executed == 0);
    REQUIRE(run.report.total().unknown == 0);
}

SCENARIO("the store is down from the start", "[process]")
{
    // [GIVEN] Instances that start while the store is down
    testing::deployment_options options;
    options.file = bureau_file;
    options.daemon_flags = fast_detection_flags;
    options.starts_with_store_down = true;
    deployment system(options);
    system.register_instances();
    const auto& entry = system.daemons()[0];
    // [WHEN] A caller sends a request [THEN] it is refused as not executed, because no instance has the lists
    const auto refused = system.call(entry.caller_address, "GET", "/queuedesk/item/1");
    REQUIRE(refused.status == 503);
    REQUIRE(http::find_header(refused.headers, "Bth-Outcome") == "not-executed");
    REQUIRE(http::find_header(refused.headers, "Bth-Reason") == "resynchronizing");
    // [WHEN] The store comes back [THEN] all instances become ready and requests succeed
    system.set_store_faults("{}");
    REQUIRE(system.wait_until_ready());
    REQUIRE(system.wait_until(
        [&] { return system.call(entry.caller_address, "GET", "/queuedesk/item/1").status == 200; },
        milliseconds(5000)));
}

SCENARIO("a caller that leaves early frees the slot of its look-up", "[process]")
{
    // [GIVEN] Upstreams that take 1 s for a look-up
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
    // [THEN] Every attempt, also one that started later, is cancelled at its upstream before it completes
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
    // [WHEN] A new instance starts with one seed peer in its settings
    const auto& fresh = system->start_daemon("entry-new", "luzon", "luzon-a",
                                             {"--seed-peers=" + system->daemons()[0].peer_address});
    // [THEN] It gets the list version in force from its peers and serves requests
    REQUIRE(system->wait_until(
        [&] {
            const auto status = system->status_of(fresh);
            return status.find(R"("plans":1)") != std::string::npos &&
                   status.find(R"("is_resynchronizing":false)") != std::string::npos;
        },
        milliseconds(8000)));
    const auto response = system->call(fresh.caller_address, "GET", "/queuedesk/item/1");
    REQUIRE(response.status == 200);
    REQUIRE(http::find_header(response.headers, "Bth-Outcome") == "done");
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
    // [THEN] No guarantee is broken, and the other regions serve the callers of the lost region
    require_guarantees(run);
    const auto response = system->call(system->daemons()[2].caller_address, "GET", "/queuedesk/item/1", "",
                                       {{"Bth-Region", "luzon"}});
    REQUIRE(http::find_header(response.headers, "Bth-Outcome") == "done");
}

SCENARIO("a planned stop under load interrupts no request", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    auto& stopping_instance = system->daemons()[3];
    // [WHEN] One instance gets SIGTERM
    const auto run = run_audited(*system, {{milliseconds(1000), [&stopping_instance] {
                                                stopping_instance.process->signal(SIGTERM);
                                            }}});
    const auto exit_code = stopping_instance.process->wait();
    // [THEN] It exits with code 0, and every request has the outcome "done"
    INFO(run.report.json());
    require_guarantees(run);
    REQUIRE(exit_code == 0);
    REQUIRE(run.report.total().unknown == 0);
    REQUIRE(run.report.total().not_executed == 0);
}

SCENARIO("a leaving upstream gets no new requests after 3 s and none is interrupted", "[process]")
{
    // [GIVEN] A running deployment under load
    const auto system = start_bureau();
    std::uint64_t runs_after_3_s = 0;
    const auto runs_of_draining_upstream = [&system] {
        const auto counts = boost::json::parse(system->call_upstreams("GET", "/control/counts").body);
        return static_cast<std::uint64_t>(counts.at("orderdesk-17").at("runs").to_number<std::uint64_t>());
    };
    // [WHEN] An upstream reports that it is draining
    const auto run = run_audited(
        *system,
        {{milliseconds(500), [&] { system->call_upstreams("POST", "/control/drain?id=orderdesk-17"); }},
         {milliseconds(3500), [&] { runs_after_3_s = runs_of_draining_upstream(); }}});
    // [THEN] Its run count does not change after 3 s, and no request was interrupted
    require_guarantees(run);
    REQUIRE(runs_of_draining_upstream() == runs_after_3_s);
    REQUIRE(run.report.total().unknown == 0);
}

SCENARIO("a request that crashes upstreams is refused after two crashes", "[process]")
{
    // [GIVEN] A running deployment
    const auto system = start_bureau(2000);
    std::set<std::string> outcomes;
    const auto refusal_reason_at = [&](const testing::daemon_instance& entry) {
        const auto ticket_response =
            system->call(entry.caller_address, "POST", "/orderdesk/crash-upstream", "x");
        const auto ticket_names = std::string(http::find_header(ticket_response.headers, "Bth-Tickets"));
        const auto response = system->call(entry.caller_address, "POST", "/orderdesk/crash-upstream", "x",
                                           {{"Bth-Ticket", ticket_names.substr(0, ticket_names.find('+'))}});
        outcomes.emplace(http::find_header(response.headers, "Bth-Outcome"));
        return std::string(http::find_header(response.headers, "Bth-Reason"));
    };
    // [WHEN] A caller sends the same crashing request repeatedly, to each instance in turn
    std::size_t send_count = 0;
    const auto is_quarantined = [&] {
        const auto& daemons = system->daemons();
        return refusal_reason_at(daemons[send_count++ % daemons.size()]) == "quarantined";
    };
    REQUIRE(system->wait_until(is_quarantined, milliseconds(8000)));
    // [THEN] Every instance refuses it, exactly two upstreams crashed, and no response has the outcome "done"
    for (const auto& entry : system->daemons()) {
        REQUIRE(refusal_reason_at(entry) == "quarantined");
    }
    const auto counts = boost::json::parse(system->call_upstreams("GET", "/control/counts").body);
    std::uint64_t crashes = 0;
    for (const auto& member : counts.as_object()) {
        crashes += member.value().at("crashes").to_number<std::uint64_t>();
    }
    REQUIRE(crashes == 2);
    REQUIRE(outcomes == std::set<std::string>{"not-executed", "unknown"});
}
