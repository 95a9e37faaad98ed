#include <cstdlib>

#include <catch2/catch.hpp>

#include "cluster_simulation.h"

using buckthornhill::node::testing::cluster_simulation;
using buckthornhill::node::testing::simulation_options;
using buckthornhill::node::testing::simulation_result;

namespace {
//! Seeds per scenario in CI. `BTH_SEEDS` sets another number for manual runs, `BTH_FIRST_SEED` the first
//! seed.
constexpr std::uint64_t default_seeds = 250;

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string describe(const simulation_result& run_result)
{
    std::string text;
    for (const auto& violation : run_result.violations) {
        text += violation + "\n";
    }
    for (const auto& [name, count] : run_result.counts) {
        text += name + ": " + std::to_string(count) + "\n";
    }
    return text;
}

void run_seeds(simulation_options options)
{
    const auto first = number_from("BTH_FIRST_SEED", 1);
    const auto seeds = number_from("BTH_SEEDS", default_seeds);
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::int64_t max_shifted_requests = 0;
    std::map<std::string, std::uint64_t> totals;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        options.seed = seed;
        const auto run_result = cluster_simulation(options).run();
        INFO("seed " << seed << "\n" << describe(run_result));
        REQUIRE(run_result.violations.empty());
        for (const auto& [name, count] : run_result.counts) {
            totals[name] += count;
        }
        runs += run_result.counts.contains("runs") ? run_result.counts.at("runs") : 0;
        max_shifted_requests = std::max(max_shifted_requests, run_result.max_shifted_requests);
        completed += run_result.counts.contains("done") ? run_result.counts.at("done") : 0;
    }
    for (const auto& [name, count] : totals) {
        UNSCOPED_INFO(name << ": " << count);
    }
    if (std::getenv("BTH_PRINT") != nullptr) {
        WARN("most shifted at once: " << max_shifted_requests);
        for (const auto& [name, count] : totals) {
            WARN(name << ": " << count);
        }
    }
    REQUIRE(runs > 0);
    REQUIRE(completed > 0);
}
} // namespace

SCENARIO("the promises hold without faults", "[interleaving]")
{
    run_seeds({});
}

SCENARIO("the promises hold when instances are killed", "[interleaving]")
{
    simulation_options options;
    options.kill_chance = 0.6;
    run_seeds(options);
}

SCENARIO("the promises hold when instances are frozen", "[interleaving]")
{
    simulation_options options;
    options.freeze_chance = 0.6;
    run_seeds(options);
}

SCENARIO("the promises hold when regions are cut and the store is down", "[interleaving]")
{
    simulation_options options;
    options.partition_chance = 0.5;
    options.store_toggle_chance = 0.3;
    run_seeds(options);
}

SCENARIO("the promises hold when upstreams leave and instances stop", "[interleaving]")
{
    simulation_options options;
    options.upstream_leave_chance = 0.3;
    options.planned_stop_chance = 0.5;
    run_seeds(options);
}

SCENARIO("a request that crashes upstreams crashes two at most", "[interleaving]")
{
    simulation_options options;
    options.poison_request_chance = 0.01;
    run_seeds(options);
}

SCENARIO("a shift stays under its cap when one region is crowded", "[interleaving]")
{
    simulation_options options;
    options.requests_per_second = 900;
    options.hot_region_share = 0.8;
    options.kill_chance = 0.2;
    run_seeds(options);
}

SCENARIO("the promises hold when every fault comes at once", "[interleaving]")
{
    simulation_options options;
    options.kill_chance = 0.3;
    options.freeze_chance = 0.3;
    options.partition_chance = 0.3;
    options.partitions_upstreams = false;
    options.store_toggle_chance = 0.2;
    options.planned_stop_chance = 0.2;
    options.upstream_leave_chance = 0.1;
    run_seeds(options);
}
