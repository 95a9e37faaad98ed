#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/blocking_call.h"
#include "http/http_client.h"
#include "http/http_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {
//! Accepts one connection after another, reads a request from each and answers with fixed bytes.
class raw_server
{
public:
    raw_server(std::string bytes, bool closes)
        : answer(std::move(bytes))
        , closes_after(closes)
        , acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0})
        , thread([this] { this->serve(); })
    {
    }

    ~raw_server()
    {
        //! NOTE A connection of the server's own ends its wait for the next one.
        this->is_ending = true;
        tcp::socket last(this->context);
        boost::system::error_code ignored;
        last.connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    endpoint address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    void serve()
    {
        std::vector<tcp::socket> open;
        while (true) {
            tcp::socket socket = this->acceptor.accept();
            if (this->is_ending) {
                return;
            }
            std::string request;
            boost::system::error_code ignored;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            boost::asio::write(socket, boost::asio::buffer(this->answer), ignored);
            if (!this->closes_after) {
                open.push_back(std::move(socket));
            }
        }
    }

    std::string answer;
    bool closes_after;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> is_ending{false};
    std::thread thread;
};

call_result call(const raw_server& server, milliseconds timeout = milliseconds(2000))
{
    return call_and_wait(server.address(), {"GET", "/a", {}, ""}, timeout);
}

//! A response without a length is accepted, as from upstreams.
call_result call_unframed(const raw_server& server)
{
    boost::asio::io_context context;
    http_client client(context, client_limits{});
    call_options options;
    options.deadline = std::chrono::steady_clock::now() + milliseconds(2000);
    options.accepts_unframed_body = true;
    call_result received;
    client.send(server.address(), {"GET", "/a", {}, ""}, std::move(options), [&](call_result result) {
        received = std::move(result);
        context.stop();
    });
    context.run();
    return received;
}
} // namespace

SCENARIO("an answer is whole or it is none", "[http]")
{
    GIVEN("a whole answer")
    {
        const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true);
        const auto result = call(server);
        REQUIRE(result.status == call_status::complete);
        REQUIRE(result.response.body == "abc");
    }
    GIVEN("a body that is cut")
    {
        const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", true);
        REQUIRE(call(server).status == call_status::broken);
    }
    GIVEN("chunks that are cut")
    {
        const raw_server server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true);
        REQUIRE(call(server).status == call_status::broken);
    }
    GIVEN("a body without a length, which a cut cannot be told from")
    {
        const raw_server server("HTTP/1.1 200 OK\r\n\r\nabc", true);
        REQUIRE(call(server).status == call_status::broken);
    }
    GIVEN("something that is not HTTP")
    {
        const raw_server server("hello\r\n\r\n", true);
        REQUIRE(call(server).status == call_status::broken);
    }
    GIVEN("no answer before the deadline")
    {
        const raw_server server("HTTP/1.1 200 OK\r\nContent-Le", false);
        const auto result = call(server, milliseconds(50));
        REQUIRE(result.status == call_status::timed_out);
        REQUIRE(result.was_sent);
    }
}

//! Guards against an answer whose head is cut and that passes for a success with an empty or short body.
SCENARIO("an answer that ends in its head is none", "[http][pattern: a response ends in its head]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nContent-Length: 3\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        // [GIVEN] A caller that accepts bodies without a length [WHEN] the connection closes in the head
        const raw_server server(head.substr(0, length), true);
        const auto result = call_unframed(server);
        // [THEN] there is no answer
        INFO(length);
        REQUIRE(result.status == call_status::broken);
    }
}

SCENARIO("a refused connect proves that nothing was sent", "[http]")
{
    endpoint closed_endpoint;
    {
        const raw_server server("", true);
        closed_endpoint = server.address();
    }
    const auto result = call_and_wait(closed_endpoint, {"POST", "/a", {}, "x"}, milliseconds(1000));
    REQUIRE(result.status == call_status::connect_failed);
    REQUIRE_FALSE(result.was_sent);
}

SCENARIO("endpoints and queries are read strictly", "[http]")
{
    REQUIRE(parse_endpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    for (const auto* wrong : {"", "127.0.0.1", "host:80", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:8x"}) {
        REQUIRE_THROWS_AS(parse_endpoint(wrong), http_error);
    }
    REQUIRE(query_value("/a?x=1&service=order%20desk&y", "service") == "order desk");
    REQUIRE(query_value("/a?xservice=1", "service").empty());
    REQUIRE(path_of("/a/b?c=d") == "/a/b");
}
