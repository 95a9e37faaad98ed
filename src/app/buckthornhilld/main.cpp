#include <iostream>

#include "daemon/daemon_configuration.h"
#include "daemon/daemon_module.h"
#include "global/error.h"
#include "global/log.h"

namespace {
constexpr int exit_wrong_settings = 2;
constexpr int exit_failure = 1;
constexpr const char* version_text = "buckthornhilld 0.1.0";

int run_daemon(const buckthornhill::daemon::daemon_configuration& configuration)
{
    buckthornhill::log::initialize(configuration.log);
    buckthornhill::daemon::daemon_module daemon(configuration);
    std::cout << daemon.ready_line() << std::endl;
    return daemon.run();
}
} // namespace

int main(int argc, char** argv)
{
    using buckthornhill::daemon::startup_request;
    buckthornhill::daemon::parsed_settings parsed;
    try {
        parsed = buckthornhill::daemon::parse_settings(argc, argv);
    } catch (const buckthornhill::error& failure) {
        std::cerr << "buckthornhilld: " << failure.what() << "\n";
        return exit_wrong_settings;
    }
    switch (parsed.request) {
    case startup_request::help:
    case startup_request::print_settings:
        std::cout << parsed.text;
        return 0;
    case startup_request::version:
        std::cout << version_text << "\n";
        return 0;
    case startup_request::check:
        std::cout << "The settings are valid.\n";
        return 0;
    case startup_request::run:
        break;
    }
    try {
        return run_daemon(parsed.configuration);
    } catch (const buckthornhill::error& failure) {
        std::cerr << "buckthornhilld: " << failure.what() << "\n";
        return exit_failure;
    }
}
