#include <algorithm>
#include <future>
#include <memory>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "http/tests/scripted_server.h"

using namespace buckthornhill;
using namespace buckthornhill::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t total_bytes = 8 * megabyte;
constexpr std::size_t message_bytes = 4 * megabyte;
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n";

std::string framed(std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

//! A client with a budget of 8 MB, 4 MB for a message, and servers that stop in the middle of a response.
class short_of_memory
{
public:
    short_of_memory() = default;
    ~short_of_memory() { this->over.set_value(); }
    short_of_memory(const short_of_memory&) = delete;
    short_of_memory& operator=(const short_of_memory&) = delete;

    //! Starts a call whose response stops after so much of its body, and waits until the client has that.
    //! Returns the number of the call.
    std::size_t add(const std::string& head, std::size_t body_bytes)
    {
        const auto wanted = this->client.buffered_bytes() + head.size() + body_bytes;
        const auto number = this->start(head + std::string(body_bytes, 'x'));
        this->run_until([&] { return this->client.buffered_bytes() >= wanted; });
        return number;
    }

    //! Starts calls whose responses tell their lengths until the memory is full; returns the number of the
    //! last.
    std::size_t fill_up()
    {
        std::size_t number = 0;
        while (this->budget->used_bytes() < total_bytes) {
            number = this->add(framed(std::min(message_bytes, total_bytes - this->budget->used_bytes())), 1);
        }
        return number;
    }

    //! Makes a call whose response is complete, and returns how it ended.
    call_status get(std::size_t body_bytes)
    {
        const auto number = this->start(framed(body_bytes) + std::string(body_bytes, 'y'));
        this->run_until([&] { return this->results[number].has_value(); });
        return this->results[number] ? this->results[number]->status : call_status::timed_out;
    }

    bool is_in_progress(std::size_t number) const { return !this->results[number].has_value(); }

private:
    static client_limits limits_with(const memory_budget_ptr& memory)
    {
        client_limits limits;
        limits.memory = memory;
        return limits;
    }

    std::size_t start(const std::string& response)
    {
        this->servers.push_back(std::make_unique<scripted_server>([this, response](tcp::socket& socket) {
            read_request(socket);
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(response), ignored);
            this->is_over.wait();
        }));
        const auto number = this->results.size();
        this->results.emplace_back();
        auto options = options_for(std::chrono::seconds(20));
        options.accepts_unframed_body = true;
        this->client.send(this->servers.back()->address(), {}, std::move(options),
                          [this, number](call_result result) { this->results[number] = std::move(result); });
        return number;
    }

    void run_until(const std::function<bool()>& is_done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!is_done() && std::chrono::steady_clock::now() < limit) {
            this->context.restart();
            this->context.run_one_for(milliseconds(5));
        }
    }

    std::promise<void> over;
    std::shared_future<void> is_over = this->over.get_future().share();
    memory_budget_ptr budget{new memory_budget({total_bytes, message_bytes, message_bytes})};
    boost::asio::io_context context;
    std::vector<std::optional<call_result>> results;
    std::vector<std::unique_ptr<scripted_server>> servers;
    http_client client{this->context, limits_with(this->budget)};
};
} // namespace

//! Guards against complete responses that are lost because responses without an end hold all the memory.
TEST_CASE(
    "[GIVEN] responses of unknown length that fill the memory [WHEN] a complete one comes [THEN] it arrives, "
    "and the largest of the others ends",
    "[http][pattern: bytes without end]")
{
    const auto head = GENERATE(unframed, chunked);
    short_of_memory calls;
    const auto smaller = calls.add(head, megabyte / 4);
    const auto largest = calls.add(head, megabyte);
    const auto known = calls.fill_up();
    CHECK(calls.get(megabyte / 2) == call_status::complete);
    CHECK_FALSE(calls.is_in_progress(largest));
    CHECK(calls.is_in_progress(smaller));
    CHECK(calls.is_in_progress(known));
}

//! Guards against a large response that ends several others, and against dropping a response whose end is
//! known.
TEST_CASE("[GIVEN] responses in progress [WHEN] one that is not smaller does not fit [THEN] it ends, and "
          "they go on",
          "[http][pattern: bytes without end]")
{
    short_of_memory calls;
    SECTION("the others tell their length")
    {
        const auto known = calls.fill_up();
        CHECK(calls.get(megabyte) == call_status::broken);
        CHECK(calls.is_in_progress(known));
    }
    SECTION("the others are smaller")
    {
        const auto open = calls.add(unframed, megabyte / 4);
        const auto known = calls.fill_up();
        CHECK(calls.get(megabyte) == call_status::broken);
        CHECK(calls.is_in_progress(open));
        CHECK(calls.is_in_progress(known));
    }
    SECTION("it is larger than any message may be")
    {
        const auto open = calls.add(unframed, megabyte);
        CHECK(calls.get(message_bytes + 1) == call_status::broken);
        CHECK(calls.is_in_progress(open));
    }
}
