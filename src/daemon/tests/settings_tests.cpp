#include <cstdlib>

#include <catch2/catch.hpp>

#include "daemon/daemon_configuration.h"
#include "daemon/daemon_errors.h"

using namespace buckthornhill::daemon;

namespace {
const std::vector<std::string> valid_arguments{"buckthornhilld", "--id=e", "--region=r", "--domain=d",
                                               "--store=127.0.0.1:1"};

parsed_settings parse(const std::vector<std::string>& command_line)
{
    setenv("BTH_PEER_KEY", "secret-key", 1);
    std::vector<const char*> arguments;
    arguments.reserve(command_line.size());
    for (const auto& word : command_line) {
        arguments.push_back(word.c_str());
    }
    return parse_settings(static_cast<int>(arguments.size()), arguments.data());
}

std::string settings_error_text(const std::vector<std::string>& added_arguments)
{
    auto command_line = valid_arguments;
    command_line.insert(command_line.end(), added_arguments.begin(), added_arguments.end());
    try {
        parse(command_line);
    } catch (const settings_error& failure) {
        return failure.what();
    }
    return "no fault";
}
} // namespace

SCENARIO("invalid settings are listed together, each with its bounds", "[daemon]")
{
    const auto text = settings_error_text(
        {"--link-mbit=-1", "--weigh=fast", "--lookup-ttl-ms=9000", "--seed-peers=nowhere"});
    REQUIRE(text.find("4 invalid setting(s)") != std::string::npos);
    REQUIRE(text.find("--link-mbit: -1 is outside the range 0.1 to 1e+06") != std::string::npos);
    REQUIRE(text.find("--weigh: 'fast' is not one of headroom, latency") != std::string::npos);
    REQUIRE(text.find("--linger-ms: must be at least --lookup-ttl-ms") != std::string::npos);
    REQUIRE(text.find("--seed-peers: endpoint 'nowhere'") != std::string::npos);
    REQUIRE(settings_error_text({"--gone-after-ms=600"}).find("three times --heartbeat-ms") !=
            std::string::npos);
    REQUIRE(settings_error_text({"--no-such-flag=1"}).find("unrecognised option") != std::string::npos);
    REQUIRE(settings_error_text({"--heartbeat=100"}).find("unrecognised option") != std::string::npos);
    REQUIRE(settings_error_text({"--heartbeat-ms=soon"}).find("heartbeat-ms") != std::string::npos);
}

SCENARIO("flags take precedence over environment variables, and secrets are not printed", "[daemon]")
{
    setenv("BTH_LINK_MBIT", "4000", 1);
    auto command_line = valid_arguments;
    command_line.emplace_back("--print-settings");
    const auto from_environment = parse(command_line);
    REQUIRE(from_environment.text.find("link-mbit = 4000") != std::string::npos);
    REQUIRE(from_environment.text.find("secret-key") == std::string::npos);
    command_line.emplace_back("--link-mbit=100");
    REQUIRE(parse(command_line).text.find("link-mbit = 100") != std::string::npos);
    unsetenv("BTH_LINK_MBIT");
}
