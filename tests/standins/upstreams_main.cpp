#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include "global/error.h"
#include "upstream_fleet.h"

//! Usage: bth-upstreams-standin DEPLOYMENT.json [service_us cold_us]. Prints its control address and the
//! upstreams with their addresses as JSON on the first line.
int main(int argc, char** argv)
{
    using namespace buckthornhill;
    if (argc < 2) {
        std::cerr << "usage: bth-upstreams-standin DEPLOYMENT.json [service_us cold_us]\n";
        return 2;
    }
    standins::upstream_behavior behavior;
    if (argc > 3) {
        behavior.service_us = std::stoi(argv[2]);
        behavior.cold_us = std::stoi(argv[3]);
    }
    try {
        std::ifstream file(argv[1]);
        std::stringstream text;
        text << file.rdbuf();
        boost::asio::io_context context;
        const standins::upstream_fleet fleet(context, text.str(), behavior);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
        std::cout << fleet.ready_line() << std::endl;
        context.run();
    } catch (const error& failure) {
        std::cerr << "bth-upstreams-standin: " << failure.what() << "\n";
        return 1;
    }
    return 0;
}
