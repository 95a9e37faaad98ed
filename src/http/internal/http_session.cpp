#include "http/internal/http_session.h"

#include <boost/beast/core/bind_handler.hpp>

namespace buckthornhill::http {
namespace beast_http = boost::beast::http;

namespace {
constexpr unsigned status_body_too_large = 413;
constexpr const char* ticket_header = "Bth-Ticket";
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
    this->read_header();
}

void http_session::read_header()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->context->limits.max_header_bytes));
    this->parser->body_limit(this->context->limits.max_body_bytes);
    this->step = this->buffer.size() > 0 ? phase::reading : phase::idle;
    const auto wait =
        this->buffer.size() > 0 ? this->context->limits.request_timeout : this->context->limits.idle_timeout;
    this->deadline = std::chrono::steady_clock::now() + wait;
    if (this->buffer.size() > 0) {
        this->read_body();
        return;
    }
    //! NOTE The wait for the first byte keeps idle connections apart from slow senders.
    this->socket.async_wait(
        boost::asio::socket_base::wait_read,
        [self = pointer(this)](const boost::system::error_code& failure) { self->on_header(failure); });
}

void http_session::on_header(const boost::system::error_code& failure)
{
    if (failure) {
        this->close();
        return;
    }
    this->step = phase::reading;
    this->deadline = std::chrono::steady_clock::now() + this->context->limits.request_timeout;
    this->read_body();
}

void http_session::read_body()
{
    beast_http::async_read(this->socket, this->buffer, *this->parser,
                           [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                               self->on_request(failure);
                           });
}

void http_session::on_request(const boost::system::error_code& failure)
{
    if (failure == beast_http::error::body_limit) {
        this->reject(status_body_too_large, "request body is larger than this listener accepts");
        return;
    }
    if (failure == beast_http::error::header_limit || failure == beast_http::error::buffer_overflow) {
        this->reject(431, "request headers are larger than this listener accepts");
        return;
    }
    if (failure.category() == beast_http::make_error_code(beast_http::error::bad_method).category() &&
        failure != beast_http::error::end_of_stream && failure != beast_http::error::partial_message) {
        this->reject(400, "malformed request: " + failure.message());
        return;
    }
    if (failure) {
        this->close();
        return;
    }
    this->dispatch();
}

void http_session::dispatch()
{
    auto message = this->parser->release();
    this->keep_alive = message.keep_alive() && !this->context->is_closing;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
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
    //! NOTE A resend may be malformed while its original ran, so only a request without a ticket is certain.
    //! All headers have been read when the body turns out to be too large.
    const bool are_headers_read = status == status_body_too_large || this->parser->is_header_done();
    const bool has_no_ticket = are_headers_read && this->parser->get().count(ticket_header) == 0;
    response.headers.emplace_back("Bth-Outcome", has_no_ticket ? "not-executed" : "unknown");
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    this->write(std::move(response));
}

void http_session::write(http_response response)
{
    this->step = phase::writing;
    this->deadline = std::chrono::steady_clock::now() + this->context->limits.request_timeout;
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
    this->read_header();
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
