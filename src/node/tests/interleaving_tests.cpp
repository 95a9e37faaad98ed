#include <cstdlib>

#include <catch2/catch.hpp>

#include "node_world.h"

using buckthornhill::node::testing::node_world;
using buckthornhill::node::testing::world_options;
using buckthornhill::node::testing::world_verdict;

namespace {
//! Runs in CI; `BTH_SEEDS` sets another number for runs by hand, `BTH_FIRST_SEED` where they start.
constexpr std::uint64_t default_seeds = 250;

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string describe(const world_verdict& verdict)
{
    std::string text;
    for (const auto& fault : verdict.faults) {
        text += fault + "\n";
    }
    for (const auto& [name, count] : verdict.counts) {
        text += name + ": " + std::to_string(count) + "\n";
    }
    return text;
}

void run_seeds(world_options options)
{
    const auto first = number_from("BTH_FIRST_SEED", 1);
    const auto seeds = number_from("BTH_SEEDS", default_seeds);
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::int64_t most_shifted = 0;
    std::map<std::string, std::uint64_t> totals;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        options.seed = seed;
        const auto verdict = node_world(options).run();
        INFO("seed " << seed << "\n" << describe(verdict));
        REQUIRE(verdict.faults.empty());
        for (const auto& [name, count] : verdict.counts) {
            totals[name] += count;
        }
        runs += verdict.counts.contains("runs") ? verdict.counts.at("runs") : 0;
        most_shifted = std::max(most_shifted, verdict.most_shifted);
        answers += verdict.counts.contains("done") ? verdict.counts.at("done") : 0;
    }
    for (const auto& [name, count] : totals) {
        UNSCOPED_INFO(name << ": " << count);
    }
    if (std::getenv("BTH_PRINT") != nullptr) {
        WARN("most shifted at once: " << most_shifted);
        for (const auto& [name, count] : totals) {
            WARN(name << ": " << count);
        }
    }
    REQUIRE(runs > 0);
    REQUIRE(answers > 0);
}
} // namespace

SCENARIO("the promises hold without faults", "[interleaving]")
{
    run_seeds({});
}

SCENARIO("the promises hold when instances are killed", "[interleaving]")
{
    world_options options;
    options.kill_chance = 0.6;
    run_seeds(options);
}

SCENARIO("the promises hold when instances are frozen", "[interleaving]")
{
    world_options options;
    options.freeze_chance = 0.6;
    run_seeds(options);
}

SCENARIO("the promises hold when regions are cut and the store is down", "[interleaving]")
{
    world_options options;
    options.cut_chance = 0.5;
    options.store_chance = 0.3;
    run_seeds(options);
}

SCENARIO("the promises hold when upstreams leave and instances stop", "[interleaving]")
{
    world_options options;
    options.drain_chance = 0.3;
    options.stop_chance = 0.5;
    run_seeds(options);
}

SCENARIO("a request that crashes upstreams crashes two at most", "[interleaving]")
{
    world_options options;
    options.poison_chance = 0.01;
    run_seeds(options);
}

SCENARIO("a shift stays under its cap when one region is crowded", "[interleaving]")
{
    world_options options;
    options.requests_per_second = 900;
    options.crowding = 0.8;
    options.kill_chance = 0.2;
    run_seeds(options);
}

SCENARIO("the promises hold when every fault comes at once", "[interleaving]")
{
    world_options options;
    options.kill_chance = 0.3;
    options.freeze_chance = 0.3;
    options.cut_chance = 0.3;
    options.cuts_upstreams = false;
    options.store_chance = 0.2;
    options.stop_chance = 0.2;
    options.drain_chance = 0.1;
    run_seeds(options);
}
