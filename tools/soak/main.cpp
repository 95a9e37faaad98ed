#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak_run.h"

namespace {
namespace options = boost::program_options;
using namespace buckthornhill;

constexpr int exit_violation = 1;
constexpr int exit_error = 2;

options::options_description describe_options()
{
    options::options_description descriptions(
        "bth-soak: runs real gateway processes under random faults drawn from a seed");
    auto add = descriptions.add_options();
    add("help", "print this");
    add("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    add("runs", options::value<std::uint64_t>()->default_value(1),
        "number of runs, one after the other, with consecutive seeds");
    add("seconds", options::value<int>()->default_value(10), "duration of fault injection in each run");
    add("gateways", options::value<std::size_t>()->default_value(9), "number of gateway processes");
    add("gateway", options::value<std::string>()->default_value(BINARY_DIR "/buckthornhill-gateway"),
        "path of the gateway program");
    add("callers", options::value<std::size_t>()->default_value(24), "number of concurrent callers");
    add("upstreams", options::value<std::size_t>()->default_value(3), "number of upstreams of each service");
    add("retry-burst", options::value<unsigned>()->default_value(58),
        "retries beyond the ratio that all gateways together may spend in a window");
    add("logs", options::value<std::string>()->default_value("soak-logs"),
        "folder for settings and logs; those of runs without violations are removed");
    return descriptions;
}

bool run_seed(const options::variables_map& values, std::uint64_t seed)
{
    soak::soak_options run_options;
    run_options.seed = seed;
    run_options.fault_time = std::chrono::seconds(values["seconds"].as<int>());
    run_options.gateways = values["gateways"].as<std::size_t>();
    run_options.callers = values["callers"].as<std::size_t>();
    run_options.upstreams_of_service = values["upstreams"].as<std::size_t>();
    run_options.retry_burst = values["retry-burst"].as<unsigned>();
    run_options.gateway_program = values["gateway"].as<std::string>();
    run_options.directory = values["logs"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(run_options.directory);
    std::filesystem::create_directories(run_options.directory);
    std::vector<std::string> violations;
    {
        soak::soak_run run(run_options);
        violations = run.execute();
        std::cout << run.summary() << std::endl;
    }
    for (const auto& line : violations) {
        std::cout << "BROKEN " << line << std::endl;
    }
    if (violations.empty()) {
        std::filesystem::remove_all(run_options.directory);
    }
    return violations.empty();
}

int run(int argc, char** argv)
{
    options::variables_map values;
    const auto descriptions = describe_options();
    options::store(options::parse_command_line(argc, argv, descriptions), values);
    if (values.count("help") > 0) {
        std::cout << descriptions;
        return 0;
    }
    const auto first = values["seed"].as<std::uint64_t>();
    std::uint64_t failed_runs = 0;
    for (auto seed = first; seed < first + values["runs"].as<std::uint64_t>(); ++seed) {
        failed_runs += run_seed(values, seed) ? 0 : 1;
    }
    std::cout << failed_runs << " runs violated a guarantee" << std::endl;
    return failed_runs == 0 ? 0 : exit_violation;
}
} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "bth-soak: " << failure.what() << "\n";
        return exit_error;
    }
}
