#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak_run.h"

namespace {
namespace options = boost::program_options;
using namespace buckthornhill;

constexpr int exit_violation = 1;
constexpr int exit_error = 2;
constexpr double default_upload_share = 0.15;

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
    add("deployment", options::value<std::string>()->default_value(SOURCE_DIR "/deployments/default.json"),
        "file that describes gateways, upstreams, requests and bounds");
    add("gateway", options::value<std::string>()->default_value(BINARY_DIR "/buckthornhill-gateway"),
        "path of the gateway program");
    add("gateways", options::value<std::size_t>(), "number of gateways, spread over the failure domains");
    add("upstreams", options::value<std::size_t>(), "number of upstreams of each service");
    add("load", options::value<double>()->default_value(1), "factor on the rates of the deployment");
    add("retry-burst", options::value<double>(),
        "retries beyond the ratio that all gateways together may spend in a window");
    add("object-plan", "switch the gateways' plan of the objects on");
    add("restore-store", "the store comes back from older copies at times, beside the other faults");
    add("accounts", "callers have accounts and send API keys, which change");
    add("uploads", "some of the requests that may run once carry large bodies");
    add("schedule", "print the faults of each run before it starts");
    add("logs", options::value<std::string>()->default_value("soak-logs"),
        "folder for settings and logs; those of runs without violations are removed");
    return descriptions;
}

//! Spreads `count` evenly over the elements of `counts`.
template <typename Counts, typename Member>
void spread(std::size_t count, Counts& counts, Member member)
{
    for (std::size_t i = 0; i < counts.size(); ++i) {
        std::invoke(member, counts[i]) = count / counts.size() + (i < count % counts.size() ? 1 : 0);
    }
}

soak::deployment read_deployment(const options::variables_map& values)
{
    auto played = soak::read_deployment(values["deployment"].as<std::string>());
    if (values.count("gateways") > 0) {
        spread(values["gateways"].as<std::size_t>(), played.domains, &soak::domain_description::gateways);
    }
    if (values.count("upstreams") > 0) {
        for (auto& service : played.services) {
            spread(values["upstreams"].as<std::size_t>(), service.upstreams, std::identity());
        }
    }
    if (values.count("retry-burst") > 0) {
        played.retry_burst = values["retry-burst"].as<double>();
    }
    played.has_object_plan = played.has_object_plan || values.count("object-plan") > 0;
    played.restores_store = played.restores_store || values.count("restore-store") > 0;
    played.has_accounts = played.has_accounts || values.count("accounts") > 0;
    if (values.count("uploads") > 0) {
        played.upload_share = default_upload_share;
    }
    return played;
}

bool run_seed(const options::variables_map& values, const soak::deployment& played, std::uint64_t seed)
{
    soak::soak_options run_options;
    run_options.seed = seed;
    run_options.fault_time = std::chrono::seconds(values["seconds"].as<int>());
    run_options.load = values["load"].as<double>();
    run_options.played = played;
    run_options.gateway_program = values["gateway"].as<std::string>();
    run_options.directory = values["logs"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(run_options.directory);
    std::filesystem::create_directories(run_options.directory);
    std::vector<std::string> violations;
    {
        soak::soak_run run(run_options);
        if (values.count("schedule") > 0) {
            for (const auto& fault : run.schedule()) {
                std::cout << fault.str() << "\n";
            }
        }
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
    const auto played = read_deployment(values);
    const auto first = values["seed"].as<std::uint64_t>();
    std::uint64_t failed_runs = 0;
    for (auto seed = first; seed < first + values["runs"].as<std::uint64_t>(); ++seed) {
        failed_runs += run_seed(values, played, seed) ? 0 : 1;
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
