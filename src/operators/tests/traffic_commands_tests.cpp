#include <thread>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "http/http_responses.h"
#include "http/http_server.h"
#include "operators/traffic_commands.h"

using namespace buckthornhill;
using namespace buckthornhill::operators;

//! Guards against a look-up for another service or region than the operator named.
TEST_CASE(
    "[GIVEN] names with characters of a target [WHEN] an operator looks a service up [THEN] the instance "
    "gets them unchanged",
    "[operators]")
{
    const std::string service = "a&region=b#c d%e+f";
    const std::string region = "g&service=h%20";
    boost::asio::io_context context;
    http::http_server server(context, {"127.0.0.1", 0}, {}, [](const http::exchange_ptr& exchange) {
        const auto& target = exchange->request().target;
        exchange->respond(http::text_response(200, http::query_value(target, "service") + "|" +
                                                       http::query_value(target, "region")));
    });
    std::thread thread([&context] { context.run(); });
    operators_configuration configuration;
    configuration.store = "127.0.0.1:1";
    configuration.entries = {server.local_endpoint().str()};
    configuration.region = region;
    const store_access store(configuration);
    const fleet_access fleet(configuration, store);
    const auto answer = traffic_commands(configuration, fleet).look_up(service);
    context.stop();
    thread.join();
    CHECK(answer == service + "|" + region + "\n\n");
}
