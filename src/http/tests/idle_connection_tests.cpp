#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "http/http_client.h"
#include "http/http_server.h"

using namespace buckthornhill::http;

//! Guards against idle connections that keep the bodies which they have sent, until memory is exhausted.
TEST_CASE("[GIVEN] connections that sent large bodies [WHEN] they are idle [THEN] they hold no bodies",
          "[http]")
{
    constexpr std::size_t body_size = 1024UL * 1024;
    constexpr int calls = 8;
    boost::asio::io_context context;
    server_limits limits;
    limits.max_body_bytes = 2 * body_size;
    std::vector<exchange_ptr> held;
    http_server server(context, {"127.0.0.1", 0}, limits, [&](const exchange_ptr& exchange) {
        held.push_back(exchange);
        if (held.size() == calls) {
            for (const auto& waiting : held) {
                waiting->respond({});
            }
        }
    });
    http_client client(context, client_limits{});
    int complete = 0;
    for (int i = 0; i < calls; ++i) {
        http_request request;
        request.method = "POST";
        request.body.assign(body_size, 'x');
        client.send(server.local_endpoint(), std::move(request),
                    std::chrono::steady_clock::now() + std::chrono::seconds(20), connection_choice::reuse,
                    [&](const call_result& result) {
                        complete += result.status == call_status::complete ? 1 : 0;
                        if (complete == calls) {
                            context.stop();
                        }
                    });
    }
    context.run_for(std::chrono::seconds(20));
    REQUIRE(complete == calls);
    CHECK(client.idle_bytes() < body_size);
    held.clear();
    server.close();
    context.restart();
    context.poll();
}
