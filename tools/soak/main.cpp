#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak_run.h"

namespace {
namespace options = boost::program_options;
using namespace buckthornhill;

constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

options::options_description describe_options()
{
    options::options_description known("bth-soak: real gateways under trouble drawn from a seed");
    auto add = known.add_options();
    add("help", "print this");
    add("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    add("runs", options::value<std::uint64_t>()->default_value(1), "so many seeds, one after the other");
    add("seconds", options::value<int>()->default_value(10), "time with trouble in each run");
    add("gateways", options::value<std::size_t>()->default_value(9), "processes");
    add("gateway", options::value<std::string>()->default_value(BINARY_DIR "/buckthornhill-gateway"),
        "program");
    add("callers", options::value<std::size_t>()->default_value(24), "callers at a time");
    add("logs", options::value<std::string>()->default_value("soak-logs"),
        "folder for settings and logs; those of runs that broke nothing are removed");
    return known;
}

bool play(const options::variables_map& values, std::uint64_t seed)
{
    soak::soak_options wanted;
    wanted.seed = seed;
    wanted.length = std::chrono::seconds(values["seconds"].as<int>());
    wanted.gateways = values["gateways"].as<std::size_t>();
    wanted.callers = values["callers"].as<std::size_t>();
    wanted.gateway_program = values["gateway"].as<std::string>();
    wanted.directory = values["logs"].as<std::string>() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(wanted.directory);
    std::filesystem::create_directories(wanted.directory);
    std::vector<std::string> broken;
    {
        soak::soak_run run(wanted);
        broken = run.play();
        std::cout << run.summary() << std::endl;
    }
    for (const auto& line : broken) {
        std::cout << "BROKEN " << line << std::endl;
    }
    if (broken.empty()) {
        std::filesystem::remove_all(wanted.directory);
    }
    return broken.empty();
}

int run(int argc, char** argv)
{
    options::variables_map values;
    const auto known = describe_options();
    options::store(options::parse_command_line(argc, argv, known), values);
    if (values.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    const auto first = values["seed"].as<std::uint64_t>();
    std::uint64_t failed = 0;
    for (auto seed = first; seed < first + values["runs"].as<std::uint64_t>(); ++seed) {
        failed += play(values, seed) ? 0 : 1;
    }
    std::cout << failed << " runs broke a promise" << std::endl;
    return failed == 0 ? 0 : exit_broken;
}
} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "bth-soak: " << failure.what() << "\n";
        return exit_usage;
    }
}
