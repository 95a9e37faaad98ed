#include "http/internal/http_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

namespace buckthornhill::http {
namespace beast_http = boost::beast::http;

namespace {
constexpr unsigned status_malformed = 400;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t read_chunk_bytes = 8UL * 1024;
} // namespace

http_session::http_session(boost::asio::ip::tcp::socket connected, std::shared_ptr<session_context> shared)
    : socket(std::move(connected))
    , context(std::move(shared))
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    this->buffer.reserve(read_chunk_bytes);
}

void http_session::start()
{
    this->await_request();
}

void http_session::await_request()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->context->limits.max_header_bytes));
    this->parser->body_limit(this->context->limits.max_body_bytes);
    this->step = this->buffer.size() > 0 ? phase::reading : phase::idle;
    const auto wait =
        this->buffer.size() > 0 ? this->context->limits.header_timeout : this->context->limits.idle_timeout;
    this->deadline = std::chrono::steady_clock::now() + wait;
    if (this->buffer.size() > 0) {
        this->read_header();
        return;
    }
    //! NOTE The wait for the first byte keeps idle connections apart from slow senders.
    this->socket.async_wait(boost::asio::socket_base::wait_read,
                            [self = pointer(this)](const boost::system::error_code& failure) {
                                if (failure) {
                                    self->close();
                                    return;
                                }
                                self->step = phase::reading;
                                self->deadline =
                                    std::chrono::steady_clock::now() + self->context->limits.header_timeout;
                                self->read_header();
                            });
}

void http_session::read_header()
{
    beast_http::async_read_header(this->socket, this->buffer, *this->parser,
                                  [self = pointer(this)](const boost::system::error_code& failure,
                                                         std::size_t) { self->on_header(failure); });
}

void http_session::on_header(const boost::system::error_code& failure)
{
    if (this->has_rejected(failure)) {
        return;
    }
    const auto fault = this->fault_in_headers();
    if (!fault.empty()) {
        this->reject(status_malformed, fault);
        return;
    }
    const auto& expect = this->parser->get()[beast_http::field::expect];
    if (!this->parser->is_done() && boost::beast::iequals(expect, "100-continue")) {
        this->send_continue();
        return;
    }
    this->read_body();
}

std::string_view http_session::fault_in_headers() const
{
    const auto& message = this->parser->get();
    const auto hosts = message.count(beast_http::field::host);
    if (hosts > 1 || (hosts == 0 && message.version() >= http_version_1_1)) {
        return "a request must have one Host header";
    }
    const auto codings = message.count(beast_http::field::transfer_encoding);
    if (codings > 0 && message.count(beast_http::field::content_length) > 0) {
        return "a request must not have both Transfer-Encoding and Content-Length";
    }
    const bool is_plain_chunked =
        codings == 1 && boost::beast::iequals(message[beast_http::field::transfer_encoding], "chunked");
    if (codings > 0 && !is_plain_chunked) {
        return "only the transfer coding \"chunked\" is understood";
    }
    return {};
}

void http_session::send_continue()
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(this->socket, boost::asio::buffer(interim),
                             [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                 if (failure) {
                                     self->close();
                                     return;
                                 }
                                 self->read_body();
                             });
}

void http_session::read_body()
{
    if (this->parser->is_done()) {
        this->dispatch();
        return;
    }
    this->deadline = std::chrono::steady_clock::now() + this->context->limits.body_timeout;
    beast_http::async_read(this->socket, this->buffer, *this->parser,
                           [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                               if (!self->has_rejected(failure)) {
                                   self->dispatch();
                               }
                           });
}

bool http_session::has_rejected(const boost::system::error_code& failure)
{
    if (!failure) {
        return false;
    }
    if (this->step != phase::reading) {
        return true;
    }
    if (failure == beast_http::error::body_limit) {
        this->reject(status_body_too_large, "request body is larger than this listener accepts");
    } else if (failure == beast_http::error::header_limit || failure == beast_http::error::buffer_overflow) {
        this->reject(status_headers_too_large, "request headers are larger than this listener accepts");
    } else if (failure.category() == beast_http::make_error_code(beast_http::error::bad_method).category() &&
               failure != beast_http::error::end_of_stream && failure != beast_http::error::partial_message) {
        this->reject(status_malformed, "malformed request: " + failure.message());
    } else {
        this->close();
    }
    return true;
}

void http_session::dispatch()
{
    http_request request;
    request.headers = this->received_headers();
    auto message = this->parser->release();
    this->keep_alive = message.keep_alive() && !this->context->is_closing;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    this->step = phase::waiting;
    this->deadline = std::chrono::steady_clock::time_point::max();
    const exchange_ptr exchange(new http_exchange(pointer(this), std::move(request)));
    this->current = exchange.get();
    this->context->handler(exchange);
    if (this->current != nullptr) {
        this->watch_for_close();
    }
}

void http_session::watch_for_close()
{
    this->socket.async_wait(boost::asio::socket_base::wait_read,
                            [self = pointer(this)](const boost::system::error_code& failure) {
                                if (failure || self->current == nullptr) {
                                    return;
                                }
                                char byte = 0;
                                boost::system::error_code status;
                                self->socket.non_blocking(true, status);
                                self->socket.receive(boost::asio::buffer(&byte, 1),
                                                     boost::asio::socket_base::message_peek, status);
                                if (status && status != boost::asio::error::would_block &&
                                    self->current != nullptr) {
                                    self->current->notify_cancelled();
                                }
                            });
}

void http_session::reject(unsigned status, std::string_view reason)
{
    this->keep_alive = false;
    http_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    if (this->context->on_rejection) {
        //! NOTE All headers have been read when the body turns out to be too large.
        if (status == status_body_too_large || this->parser->is_header_done()) {
            const auto headers = this->received_headers();
            this->context->on_rejection(response, &headers);
        } else {
            this->context->on_rejection(response, nullptr);
        }
    }
    this->write(std::move(response));
}

header_list http_session::received_headers() const
{
    header_list headers;
    for (const auto& field : this->parser->get()) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

void http_session::write(http_response response)
{
    this->step = phase::writing;
    this->deadline = std::chrono::steady_clock::now() + this->context->limits.body_timeout;
    auto& message = this->outgoing.emplace();
    message.result(response.status);
    for (const auto& [name, value] : response.headers) {
        message.insert(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(this->keep_alive && !this->context->is_closing);
    message.prepare_payload();
    beast_http::async_write(this->socket, message,
                            [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                self->on_written(failure);
                            });
}

void http_session::on_written(const boost::system::error_code& failure)
{
    const bool close_now = failure || !this->outgoing || !this->outgoing->keep_alive();
    this->outgoing.reset();
    if (close_now) {
        this->close();
        return;
    }
    this->await_request();
}

void http_session::expire()
{
    if (this->step == phase::reading) {
        //! NOTE Cancelling ends the pending read; the 408 goes out before the close.
        boost::system::error_code ignored;
        this->socket.cancel(ignored);
        this->reject(408, "the request did not arrive in time");
        return;
    }
    this->close();
}

void http_session::close()
{
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    if (this->is_linked()) {
        this->unlink();
    }
    if (this->current != nullptr) {
        this->current->notify_cancelled();
    }
}

http_exchange::http_exchange(boost::intrusive_ptr<http_session> owner, http_request request)
    : session(std::move(owner))
    , message(std::move(request))
{
}

http_exchange::~http_exchange()
{
    if (!this->is_answered && this->session->current == this) {
        this->session->current = nullptr;
        this->session->close();
    }
}

void http_exchange::respond(http_response response)
{
    if (this->is_answered) {
        return;
    }
    this->is_answered = true;
    if (this->session->current != this) {
        return;
    }
    this->session->current = nullptr;
    this->cancelled = nullptr;
    if (this->session->socket.is_open()) {
        this->session->write(std::move(response));
    }
}

void http_exchange::notify_cancelled()
{
    if (this->cancelled) {
        const auto hook = std::move(this->cancelled);
        this->cancelled = nullptr;
        hook();
    }
}
} // namespace buckthornhill::http
