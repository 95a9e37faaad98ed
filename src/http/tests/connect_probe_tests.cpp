#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "http/connect_probe.h"
#include "http/http_server.h"

using namespace buckthornhill;
using namespace buckthornhill::http;

namespace {
connect_result probe(boost::asio::io_context& context, const endpoint& server)
{
    auto seen = connect_result::failed;
    probe_connect(context, server, std::chrono::seconds(5), [&](connect_result result) {
        seen = result;
        context.stop();
    });
    context.restart();
    context.run();
    return seen;
}
} // namespace

TEST_CASE(
    "[GIVEN] a listener [WHEN] it is probed and then closed [THEN] the probe connects, and is refused after",
    "[http]")
{
    boost::asio::io_context context;
    http_server server(context, {"127.0.0.1", 0}, server_limits{}, [](const exchange_ptr&) {});
    const auto address = server.local_endpoint();
    CHECK(probe(context, address) == connect_result::connected);
    server.close();
    CHECK(probe(context, address) == connect_result::refused);
}
