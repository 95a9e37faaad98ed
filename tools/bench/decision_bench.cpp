#include "decision_bench.h"

#include <chrono>
#include <iostream>
#include <random>
#include <string>

#include "node/entry_node.h"
#include "peers/heartbeat_codec.h"
#include "process_usage.h"

namespace buckthornhill::bench {
namespace {
using steady = std::chrono::steady_clock;

constexpr std::uint64_t decision_requests = 500'000;
constexpr int upstream_count = 16;
constexpr int heartbeat_rounds = 200;
constexpr std::size_t member_counts[] = {9, 100, 400, 1300};
constexpr std::size_t customer_counts[] = {100, 1000, 8000};
constexpr int domain_count = 69;
constexpr int region_count = 24;

double seconds_since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

random_hook make_random()
{
    auto engine = std::make_shared<std::mt19937_64>(7);
    return [engine] { return (*engine)(); };
}

membership::member_description describe(std::size_t number)
{
    membership::member_description member;
    member.id = instance_id("entry-" + std::to_string(number));
    member.incarnation = incarnation_id(7'000'000'000'000'000ULL + number);
    member.region = region_id("region-" + std::to_string(number % region_count));
    member.domain = domain_id("domain-" + std::to_string(number % domain_count));
    member.peer_address = "10.0.0.1:" + std::to_string(10000 + number);
    member.caller_address = "10.0.0.1:" + std::to_string(30000 + number);
    return member;
}

std::string instances_document(std::size_t upstreams)
{
    std::string list;
    for (std::size_t i = 0; i < upstreams; ++i) {
        const auto number = std::to_string(i);
        list +=
            std::string(list.empty() ? "" : ",") + R"({"id":"upstream-)" + number +
            R"(","service":"queuedesk","region":"region-0","domain":"domain-0","address":"10.0.0.2:80",)" +
            R"("slots":5,"state":"live"})";
    }
    return R"({"entries":[],"upstreams":[)" + list + "]}";
}

std::unique_ptr<node::entry_node> make_node(time_point now, std::size_t upstreams)
{
    auto node = std::make_unique<node::entry_node>(describe(0), node::node_configuration{}, make_random());
    node->on_document(now, lists::document_name::instances, object_version(1), instances_document(upstreams));
    node->on_store_confirmed(now);
    return node;
}

void measure_gossip(std::size_t members, std::size_t max_records, std::size_t max_targets)
{
    const auto before_kib = resident_kib(getpid());
    membership::membership_configuration settings;
    settings.max_gossip_records = max_records;
    settings.domain_targets = max_targets;
    settings.random_targets = max_targets;
    membership::member_table table(describe(0), settings, make_random());
    const auto now = steady::now();
    membership::gossip all;
    for (std::size_t i = 1; i < members; ++i) {
        all.push_back({describe(i), membership::member_state::live, 1});
    }
    table.merge(now, all);
    const auto memory_kib = resident_kib(getpid()) - before_kib;
    std::size_t bytes = 0;
    std::size_t targets = 0;
    const auto start = steady::now();
    for (int round = 0; round < heartbeat_rounds; ++round) {
        targets += table.pick_targets().size();
        peers::heartbeat message;
        message.members = table.next_gossip();
        const auto encoded = peers::encode_heartbeat(message);
        bytes += encoded.size();
        table.merge(now, peers::decode_heartbeat(encoded).members);
        table.on_tick(now);
    }
    const auto round_us = seconds_since(start) * 1e6 / heartbeat_rounds;
    const auto per_round = static_cast<double>(targets) / heartbeat_rounds;
    const auto size = static_cast<double>(bytes) / heartbeat_rounds;
    std::cout << "members " << members << ", " << max_records << " records: heartbeat " << size << " bytes, "
              << round_us << " us to build, encode as JSON, decode and merge; targets per round " << per_round
              << "; memory " << memory_kib << " KiB\n";
}

void measure_ownership(std::size_t members)
{
    std::vector<membership::member_description> all;
    for (std::size_t i = 0; i < members; ++i) {
        all.push_back(describe(i));
    }
    std::vector<ownership::upstream_description> upstreams;
    for (int i = 0; i < 340; ++i) {
        ownership::upstream_description upstream;
        upstream.id = upstream_id("upstream-" + std::to_string(i));
        upstream.region = region_id("region-" + std::to_string(i % region_count));
        upstream.domain = domain_id("domain-" + std::to_string(i % domain_count));
        upstreams.push_back(upstream);
    }
    ownership::owner_map owners;
    const auto start = steady::now();
    owners.rebuild(all, upstreams);
    std::cout << "members " << members << ": owners of 340 upstreams computed in "
              << seconds_since(start) * 1e3 << " ms\n";
}

void measure_lists(std::size_t customers)
{
    std::string list;
    for (std::size_t i = 0; i < customers; ++i) {
        list += std::string(i == 0 ? "" : ",") + R"({"name":"customer-)" + std::to_string(i) +
                R"(","plan":"gold"})";
    }
    const std::string body = R"({"plans":["gold"],"customers":[)" + list + "]}";
    const auto before_kib = resident_kib(getpid());
    lists::list_state state;
    const auto start = steady::now();
    state.offer(lists::document_name::plans, object_version(1), body);
    const auto took_ms = seconds_since(start) * 1e3;
    std::cout << "customers " << customers << ": plans of " << body.size() << " bytes in force in " << took_ms
              << " ms, " << resident_kib(getpid()) - before_kib << " KiB\n";
}
} // namespace

void run_decision_bench()
{
    auto now = steady::now();
    const auto node = make_node(now, upstream_count);
    now += std::chrono::seconds(10);
    node->on_tick(now);
    now += std::chrono::milliseconds(20);
    for (int i = 0; i < upstream_count; ++i) {
        node->on_probe_result(now, upstream_id("upstream-" + std::to_string(i)), {true, false, 0});
    }
    node->take_actions();
    std::uint64_t events = 0;
    std::uint64_t done = 0;
    const auto start = steady::now();
    for (std::uint64_t i = 1; i <= decision_requests; ++i) {
        now += std::chrono::microseconds(20);
        if (i % 1000 == 0) {
            node->on_tick(now);
            ++events;
        }
        node::request_facts facts;
        facts.flow = flow_id(i);
        facts.service = service_id("queuedesk");
        facts.is_idempotent = true;
        facts.deadline = now + std::chrono::seconds(1);
        facts.affinity = i % 50;
        facts.request_fingerprint = fingerprint(i);
        node->on_caller_request(now, facts);
        ++events;
        for (const auto& action : node->take_actions()) {
            if (const auto* sent = std::get_if<node::start_upstream_action>(&action)) {
                node->on_upstream_result(now, sent->flow, sent->attempt, sent->upstream,
                                         {node::attempt_status::complete, false, false, 0, nullptr});
                ++events;
            }
        }
        done += node->take_actions().empty() ? 0 : 1;
    }
    const auto took = seconds_since(start);
    std::cout << "decision events per second: " << static_cast<double>(events) / took << " (" << done
              << " of " << decision_requests << " requests done)\n";
    const auto lookups_start = steady::now();
    for (std::uint64_t i = 0; i < decision_requests; ++i) {
        node->look_up(now, service_id("queuedesk"), region_id("region-0"), 0);
    }
    std::cout << "look-up decisions per second: "
              << static_cast<double>(decision_requests) / seconds_since(lookups_start) << "\n";
}

void run_size_bench()
{
    for (const auto members : member_counts) {
        measure_gossip(members, 64, 8);
        measure_gossip(members, 6, 2);
    }
    for (const auto members : member_counts) {
        measure_ownership(members);
    }
    for (const auto customers : customer_counts) {
        measure_lists(customers);
    }
}
} // namespace buckthornhill::bench
