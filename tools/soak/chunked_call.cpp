#include "chunked_call.h"

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace buckthornhill::soak {
namespace {
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

std::string text_of(const http::http_request& request, std::size_t chunk_bytes)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t first = 0; first < request.body.size(); first += chunk_bytes) {
        const auto chunk = request.body.substr(first, chunk_bytes);
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        text.append(size.data()).append(chunk).append("\r\n");
    }
    return text + "0\r\n\r\n";
}

//! Kept alive by its pending operations.
class chunked_call : public std::enable_shared_from_this<chunked_call>
{
public:
    chunked_call(asio::io_context& context, std::string request_text, http::call_handler on_result)
        : socket(context)
        , timer(context)
        , text(std::move(request_text))
        , handler(std::move(on_result))
    {
        this->parser.body_limit(http::client_limits{}.max_body_bytes);
    }

    void start(const http::endpoint& server, time_point deadline)
    {
        this->timer.expires_at(deadline);
        this->timer.async_wait([self = this->shared_from_this()](const error_code& failure) {
            if (!failure) {
                self->finish(http::call_status::timed_out);
            }
        });
        const asio::ip::tcp::endpoint target(asio::ip::make_address(server.address), server.port);
        this->socket.async_connect(target, [self = this->shared_from_this()](const error_code& failure) {
            if (failure) {
                self->finish(http::call_status::connect_failed);
            } else {
                self->exchange();
            }
        });
    }

private:
    void exchange()
    {
        //! NOTE A server that refuses a body may answer and close before it has read the rest, so that only
        //! the end of reading ends the call.
        asio::async_write(this->socket, asio::buffer(this->text),
                          [self = this->shared_from_this()](const error_code&, std::size_t) {});
        beast_http::async_read(this->socket, this->buffer, this->parser,
                               [self = this->shared_from_this()](const error_code& failure, std::size_t) {
                                   self->finish(failure ? http::call_status::broken
                                                        : http::call_status::complete);
                               });
    }

    void finish(http::call_status status)
    {
        if (!this->handler) {
            return;
        }
        http::call_result result;
        result.status = status;
        result.was_sent = status != http::call_status::connect_failed;
        if (status == http::call_status::complete) {
            auto& message = this->parser.get();
            result.response.status = message.result_int();
            for (const auto& field : message) {
                result.response.headers.emplace_back(field.name_string(), field.value());
            }
            result.response.body = std::move(message.body());
        }
        this->timer.cancel();
        error_code ignored;
        this->socket.close(ignored);
        std::exchange(this->handler, nullptr)(std::move(result));
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string text;
    http::call_handler handler; //!< null once it has been called
    boost::beast::flat_buffer buffer;
    beast_http::response_parser<beast_http::string_body> parser;
};
} // namespace

void send_in_chunks(asio::io_context& context, const http::endpoint& server,
                    const http::http_request& request, std::size_t chunk_bytes, time_point deadline,
                    http::call_handler handler)
{
    std::make_shared<chunked_call>(context, text_of(request, chunk_bytes), std::move(handler))
        ->start(server, deadline);
}
} // namespace buckthornhill::soak
