#include <future>
#include <vector>

#include <catch2/catch.hpp>

#include "http/tests/scripted_server.h"

using namespace buckthornhill;
using namespace buckthornhill::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

//! Guards against callers that wait until their deadline for the response behind an invalid one, or that get
//! a status which means nothing to them.
TEST_CASE("[GIVEN] a response with an invalid status [WHEN] a call gets it [THEN] the call is broken at once",
          "[http][pattern: malformed responses]")
{
    const auto* status = GENERATE("000", "099", "600", "999", "-20", "+200", "20", "2000", "2 0", "", "101");
    const auto* framing = GENERATE("", "Content-Length: 0\r\n", "Content-Length: 9\r\n");
    CAPTURE(status, framing);
    std::promise<void> is_call_finished;
    scripted_server server([&](tcp::socket& socket) {
        read_request(socket);
        const std::string head = std::string("HTTP/1.1 ") + status + " Some Text\r\n" + framing + "\r\n";
        boost::asio::write(socket, boost::asio::buffer(head));
        is_call_finished.get_future().wait();
    });
    auto options = options_for(milliseconds(3000));
    options.accepts_unframed_body = true;
    const auto started = std::chrono::steady_clock::now();
    const auto result = call(server.address(), std::move(options));
    is_call_finished.set_value();
    CHECK(result.status == call_status::broken);
    CHECK(result.was_sent);
    CHECK(std::chrono::steady_clock::now() - started < milliseconds(2500));
}

//! Guards against a check of the status that takes interim and unusual, but valid, responses for invalid.
TEST_CASE("[GIVEN] a response with an unusual status [WHEN] it is valid [THEN] the call gets it",
          "[http][pattern: malformed responses]")
{
    const auto status = GENERATE(200U, 299U, 451U, 599U);
    scripted_server server([&](tcp::socket& socket) {
        read_request(socket);
        boost::asio::write(socket, boost::asio::buffer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " +
                                                       std::to_string(status) +
                                                       " Some Text\r\nContent-Length: 2\r\n\r\nok"));
    });
    const auto result = call(server.address(), options_for(milliseconds(3000)));
    CHECK(result.status == call_status::complete);
    CHECK(result.response.status == status);
}

namespace {
//! Lines of a head that are no fields by RFC 9110, 5.1 and 5.5, or RFC 9112, 5.
const std::vector<std::string> malformed_lines{
    "Odd Name: 1",
    "Odd\tName: 1",
    std::string("Odd\0Name: 1", 11),
    "Odd\x01Name: 1",
    "Odd\x7FName: 1",
    "Odd\x80Name: 1",
    "Odd(Name): 1",
    "Odd : 1",
    "Content-Length : 4",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\t: chunked",
    "Content Length: 4",
    ": 1",
    "no colon",
    " folded: 1",
    std::string("Odd: a\0b", 8),
    "Odd: a\x01!",
    "Odd: a\rb",
    "Content-Length: 4\r",
};
} // namespace

//! Guards against a response that reaches the caller with a line that is no field, or with a body that this
//! line delimits.
TEST_CASE(
    "[GIVEN] a response with a line that is no field [WHEN] a call gets it [THEN] the call is broken at once",
    "[http][pattern: malformed responses]")
{
    const auto line = GENERATE(from_range(malformed_lines));
    const bool is_first = GENERATE(true, false);
    const auto* framing = GENERATE("", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    CAPTURE(line, is_first, framing);
    if (line.starts_with(' ') && !is_first) {
        return; //!< it continues the field before it (RFC 9112, 5.2)
    }
    std::promise<void> is_call_finished;
    scripted_server server([&](tcp::socket& socket) {
        read_request(socket);
        const auto fields = is_first ? line + "\r\n" + framing : framing + line + "\r\n";
        const auto head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
        boost::asio::write(socket, boost::asio::buffer(head + "4\r\nbody\r\n0\r\n\r\n"));
        is_call_finished.get_future().wait();
    });
    auto options = options_for(milliseconds(3000));
    options.accepts_unframed_body = true;
    const auto started = std::chrono::steady_clock::now();
    const auto result = call(server.address(), std::move(options));
    is_call_finished.set_value();
    CHECK(result.status == call_status::broken);
    CHECK(result.was_sent);
    CHECK(std::chrono::steady_clock::now() - started < milliseconds(2500));
}
