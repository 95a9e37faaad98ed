#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "store_standin.h"

//! Usage: bth-store-standin [port]. Prints its address as JSON on the first line.
int main(int argc, char** argv)
{
    boost::asio::io_context context;
    const auto port = static_cast<unsigned short>(argc > 1 ? std::stoi(argv[1]) : 0);
    const buckthornhill::standins::store_standin store(context, port);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    std::cout << "{\"address\":\"" << store.local_endpoint().str() << "\"}" << std::endl;
    context.run();
    return 0;
}
