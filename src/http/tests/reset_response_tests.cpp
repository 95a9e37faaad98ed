#include <atomic>
#include <future>
#include <optional>

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include "http/tests/scripted_server.h"

using namespace buckthornhill;
using namespace buckthornhill::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t upload_bytes = 24 * megabyte; //!< far more than the system's buffers take
const std::string unframed_part = "HTTP/1.1 200 OK\r\n\r\npart of a body";

void reset(tcp::socket& socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

void send(tcp::socket& socket, const std::string& bytes)
{
    boost::asio::write(socket, boost::asio::buffer(bytes));
}

void read_bytes(tcp::socket& socket, std::size_t size)
{
    std::string bytes(size, 0);
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::buffer(bytes), ignored);
}

//! An upload to a server that answers before it has read it.
class early_answer
{
public:
    //! The server runs `serve` when it has the head of the request.
    explicit early_answer(std::function<void(tcp::socket&)> serve)
        : server([this, serve = std::move(serve)](tcp::socket& socket) {
            read_request(socket);
            this->is_started = true;
            serve(socket);
            this->has_ended = true;
            this->has_ended.notify_all();
            this->is_over.get_future().wait();
        })
    {
        auto options = options_for(milliseconds(10000));
        options.accepts_unframed_body = true;
        static const auto body = std::make_shared<const std::string>(upload_bytes, 'x');
        options.body = body;
        this->client.send(this->server.address(), {"POST", "/", {}, ""}, std::move(options),
                          [this](call_result received) { this->result = std::move(received); });
    }
    ~early_answer() { this->is_over.set_value(); }
    early_answer(const early_answer&) = delete;
    early_answer& operator=(const early_answer&) = delete;

    //! The client does nothing from when the server has the head until it has done its part, so that it finds
    //! all that happened at once.
    call_result result_after_pause()
    {
        this->run_until([this] { return this->is_started.load(); });
        this->has_ended.wait(false);
        return this->finish();
    }

    //! The client reads what comes; the server may wait for this with `wait_for_part`.
    call_result finish()
    {
        this->run_until([this] {
            if (this->client.buffered_bytes() > 0 && !std::exchange(this->is_part_read, true)) {
                this->part_read.set_value();
            }
            return this->result.has_value() && this->has_ended;
        });
        return this->result.value_or(call_result{});
    }

    void wait_for_part() { this->part_read.get_future().wait(); }

private:
    void run_until(const std::function<bool()>& is_done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(15);
        while (!is_done() && std::chrono::steady_clock::now() < limit) {
            this->context.restart();
            this->context.run_one_for(milliseconds(5));
        }
    }

    std::atomic<bool> is_started{false};
    std::atomic<bool> has_ended{false}; //!< what the server does
    bool is_part_read = false;
    std::promise<void> part_read;
    std::promise<void> is_over;
    std::optional<call_result> result;
    boost::asio::io_context context;
    http_client client{this->context, client_limits{}};
    scripted_server server;
};
} // namespace

//! Guards against a part of a body that reaches the caller as a complete response: the write of the request
//! gets the error of a reset, and the read then gets the end of the stream.
TEST_CASE(
    "[GIVEN] an upload in progress [WHEN] a response without a length is reset [THEN] the call is broken",
    "[http][pattern: a response is reset during an upload]")
{
    const std::size_t read_first = GENERATE(std::size_t{0}, upload_bytes / 3);
    SECTION("the client finds bytes and reset at once")
    {
        early_answer answer([&](tcp::socket& socket) {
            send(socket, unframed_part);
            read_bytes(socket, read_first);
            reset(socket);
        });
        const auto result = read_first == 0 ? answer.result_after_pause() : answer.finish();
        CHECK(result.status == call_status::broken);
        CHECK(result.was_sent);
    }
    SECTION("the client has the bytes when the reset comes")
    {
        early_answer* waiting = nullptr;
        std::promise<void> is_constructed;
        early_answer answer([&](tcp::socket& socket) {
            is_constructed.get_future().wait();
            send(socket, unframed_part);
            waiting->wait_for_part();
            read_bytes(socket, read_first);
            reset(socket);
        });
        waiting = &answer;
        is_constructed.set_value();
        const auto result = answer.finish();
        CHECK(result.status == call_status::broken);
    }
    SECTION("the server closes with bytes that it has not read, which resets the connection")
    {
        early_answer answer([&](tcp::socket& socket) {
            send(socket, unframed_part);
            read_bytes(socket, read_first);
            socket.close();
        });
        const auto result = read_first == 0 ? answer.result_after_pause() : answer.finish();
        CHECK(result.status == call_status::broken);
    }
}

//! Guards against an order of the handlers of read and write in which the end of the stream comes first.
TEST_CASE(
    "[GIVEN] an upload in progress [WHEN] a response without a length is reset at any moment [THEN] the call "
    "is broken",
    "[http][pattern: a response is reset during an upload]")
{
    constexpr std::size_t rounds = 300;
    constexpr std::size_t step_bytes = 24UL * 1024;
    for (std::size_t round = 0; round < rounds; ++round) {
        early_answer answer([round](tcp::socket& socket) {
            send(socket, unframed_part);
            read_bytes(socket, round * step_bytes);
            reset(socket);
        });
        INFO("round " << round);
        CHECK(answer.finish().status == call_status::broken);
    }
}

//! Guards against a check for resets that takes complete responses for broken ones.
TEST_CASE("[GIVEN] an upload in progress [WHEN] a response ends in order [THEN] it is complete",
          "[http][pattern: a response is reset during an upload]")
{
    SECTION("the server closes its sending side and reads on")
    {
        early_answer answer([](tcp::socket& socket) {
            send(socket, unframed_part);
            socket.shutdown(tcp::socket::shutdown_send);
            read_bytes(socket, upload_bytes / 3);
        });
        const auto result = answer.finish();
        CHECK(result.status == call_status::complete);
        CHECK(result.response.body == "part of a body");
    }
    SECTION("the server closes its sending side, reads the whole body and closes")
    {
        early_answer answer([](tcp::socket& socket) {
            send(socket, unframed_part);
            socket.shutdown(tcp::socket::shutdown_send);
            read_bytes(socket, upload_bytes);
            socket.close();
        });
        CHECK(answer.finish().status == call_status::complete);
    }
    SECTION("the connection is reset after the end of the stream")
    {
        early_answer answer([](tcp::socket& socket) {
            send(socket, unframed_part);
            socket.shutdown(tcp::socket::shutdown_send);
            reset(socket);
        });
        const auto result = answer.result_after_pause();
        CHECK(result.status == call_status::complete);
        CHECK(result.response.body == "part of a body");
    }
    SECTION("the connection is reset after a response that tells its own end")
    {
        const std::string response = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                              "4\r\nbody\r\n0\r\n\r\n");
        early_answer answer([&](tcp::socket& socket) {
            send(socket, response);
            reset(socket);
        });
        const auto result = answer.result_after_pause();
        CHECK(result.status == call_status::complete);
        CHECK(result.response.body == "body");
    }
}

//! Guards against a part that passes for the whole because its response tells an end that never came.
TEST_CASE(
    "[GIVEN] an upload in progress [WHEN] a response is reset before the end that it tells [THEN] the call "
    "is broken",
    "[http][pattern: a response is reset during an upload]")
{
    const std::string response = GENERATE(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "HTTP/1.1 200 OK\r\n");
    early_answer answer([&](tcp::socket& socket) {
        send(socket, response);
        reset(socket);
    });
    CHECK(answer.result_after_pause().status == call_status::broken);
}
