#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "deployment.h"
#include "http/http_types.h"

using namespace buckthornhill;
using buckthornhill::testing::deployment;

namespace {
//! Sends raw bytes and returns everything received until the server closes the connection.
std::string exchange_raw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    const auto server = http::parse_endpoint(address);
    socket.connect({boost::asio::ip::make_address(server.address), server.port});
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
    return received;
}

std::unique_ptr<deployment> start_with_small_limits()
{
    testing::deployment_options options;
    options.file = std::string(EXAMPLES_DIR) + "/plisse/deployment.json";
    options.daemon_flags = {"--heartbeat-ms=100", "--gone-after-ms=800", "--request-timeout-ms=400",
                            "--max-body-bytes=2000"};
    auto system = std::make_unique<deployment>(options);
    system->register_instances();
    REQUIRE(system->wait_until_ready());
    return system;
}
} // namespace

SCENARIO("callers that break the limits get a clear error", "[process]")
{
    const auto system = start_with_small_limits();
    const auto& entry = system->daemons()[0];
    const auto address = entry.caller_address;
    // [GIVEN] An instance [WHEN] a request has two Content-Length headers [THEN] it is refused with the
    // outcome "unknown": its ticket could not be read, and if it is a resend, the original may have run
    const auto two_lengths =
        exchange_raw(address, "POST /deposit-desk/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                              "Content-Length: 5\r\n\r\nabcde");
    REQUIRE(two_lengths.find("400 Bad Request") != std::string::npos);
    REQUIRE(two_lengths.find("Bth-Outcome: unknown") != std::string::npos);
    // [WHEN] it has both a Content-Length and a chunked body [THEN] it is refused
    const auto length_and_chunks =
        exchange_raw(address, "POST /deposit-desk/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    REQUIRE(length_and_chunks.find("400 Bad Request") != std::string::npos);
    // [WHEN] the body is too large [THEN] the response is 413
    const auto large_body =
        exchange_raw(address, "POST /deposit-desk/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" +
                                  std::string(3000, 'x'));
    REQUIRE(large_body.find("413 Payload Too Large") != std::string::npos);
    REQUIRE(large_body.find("Bth-Outcome: not-executed") != std::string::npos);
    // [WHEN] the headers are too large [THEN] the response is 431
    const auto large_headers = exchange_raw(
        address, "GET /pattern-library/a HTTP/1.1\r\nHost: x\r\nA: " + std::string(20000, 'y') + "\r\n\r\n");
    REQUIRE(large_headers.find("431 ") != std::string::npos);
    // [WHEN] the request is incomplete when the request timeout passes [THEN] the response is 408
    const auto slow_sender = exchange_raw(address, "GET /pattern-library/a HTT");
    REQUIRE(slow_sender.find("408 Request Timeout") != std::string::npos);
    // [WHEN] the bytes are not HTTP [THEN] the response is 400
    REQUIRE(exchange_raw(address, "hello\r\n\r\n").find("400 Bad Request") != std::string::npos);
    // [WHEN] the service is unknown [THEN] it is refused as not executed
    const auto unknown_service = system->call(address, "GET", "/no-such-service/a");
    REQUIRE(unknown_service.status == 503);
    REQUIRE(http::find_header(unknown_service.headers, "Bth-Reason") == "no-upstream");
    // [WHEN] the ticket is malformed or was never issued [THEN] it is refused as not executed
    const auto invalid_ticket = system->call(address, "POST", "/deposit-desk/a", "x", {{"Bth-Ticket", "12"}});
    REQUIRE(invalid_ticket.status == 400);
    REQUIRE(http::find_header(invalid_ticket.headers, "Bth-Outcome") == "not-executed");
}

SCENARIO("a caller cannot act as an instance", "[process]")
{
    // [GIVEN] A running deployment
    const auto system = start_with_small_limits();
    const auto& entry = system->daemons()[0];
    // [WHEN] A caller forges the headers that instances use between each other
    const auto forged = system->call(entry.caller_address, "POST", "/deposit-desk/a", "x",
                                     {{"Bth-Kind", "admit"},
                                      {"Bth-From", "entry-1"},
                                      {"Bth-Class", "within-quota"},
                                      {"Bth-Peer-Key", "test-key"},
                                      {"Order-Id", "forged"}});
    // [THEN] The headers are ignored: the request still needs a ticket, and it did not run
    REQUIRE(forged.status == 428);
    REQUIRE(system->execution_log().empty());
    // [WHEN] The peer listener gets a request without the right key [THEN] it is refused
    REQUIRE(system->call(entry.peer_address, "POST", "/.peer/heartbeat", "{}").status == 403);
    REQUIRE(system->call(entry.peer_address, "POST", "/.peer/heartbeat", "{}", {{"Bth-Peer-Key", "test-kez"}})
                .status == 403);
    // [WHEN] A peer with the key sends an invalid message [THEN] the error names the invalid field
    const auto malformed =
        system->call(entry.peer_address, "POST", "/.peer/heartbeat", "{}", {{"Bth-Peer-Key", "test-key"}});
    REQUIRE(malformed.status == 400);
    REQUIRE(malformed.body.find("heartbeat.members") != std::string::npos);
}
