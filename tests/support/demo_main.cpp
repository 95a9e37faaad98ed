#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "deployment.h"
#include "global/error.h"

namespace {
constexpr double default_requests_per_second = 60;
constexpr std::chrono::seconds load_duration{5};

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

//! Keeps the deployment running, for use with buckthornhillctl, until a line is typed or the input ends.
void wait_for_enter(const buckthornhill::testing::deployment& system)
{
    std::cout << "The store is at " << system.store_address() << ". Try: build/bin/buckthornhillctl --store "
              << system.store_address() << " status\nPress Enter to stop." << std::endl;
    std::string line;
    std::getline(std::cin, line);
}

int run_demo(const std::string& folder, double rate, bool keeps_running)
{
    using namespace buckthornhill;
    testing::deployment system({folder + "/deployment.json", {}, 2000, 2000, false});
    system.register_instances();
    system.put_document("plans", read_file(folder + "/plans.json"));
    system.put_document("quotas", read_file(folder + "/quotas.json"));
    std::cout << "Started the store, the upstreams and " << system.daemons().size() << " entry instances.\n";
    if (!system.wait_until_ready()) {
        std::cerr << "The instances did not become ready.\n";
        return 1;
    }
    const auto plan = system.make_plan(rate, load_duration);
    std::cout << "Sending " << plan.streams.size() << " streams of " << rate << " requests per second for "
              << load_duration.count() << " s.\n\n";
    const auto report = system.run_load(plan, {});
    std::cout << report.table();
    std::size_t repeated_orders = 0;
    for (const auto& [order, runs] : system.execution_log()) {
        repeated_orders += runs > 1 ? 1 : 0;
    }
    std::cout << "\nRequests that ran more than once: " << repeated_orders << "\n";
    if (keeps_running) {
        wait_for_enter(system);
    }
    return report.total().wrong_answers == 0 && report.total().done > 0 ? 0 : 1;
}
} // namespace

//! Usage: bth-demo EXAMPLE_FOLDER [requests per second of each stream] [stay].
int main(int argc, char** argv)
{
    if (argc < 2) {
        std::cerr << "usage: bth-demo EXAMPLE_FOLDER [requests per second of each stream] [stay]\n";
        return 2;
    }
    try {
        return run_demo(argv[1], argc > 2 ? std::atof(argv[2]) : default_requests_per_second,
                        argc > 3 && std::string(argv[3]) == "stay");
    } catch (const std::exception& failure) {
        std::cerr << "bth-demo: " << failure.what() << "\n";
        return 1;
    }
}
