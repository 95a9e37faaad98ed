#include "http/internal/http_session.h"

#include <poll.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include "global/log.h"
#include "http/http_responses.h"

namespace buckthornhill::http {
namespace beast_http = boost::beast::http;

namespace {
constexpr unsigned status_malformed = 400;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unavailable = 503;
constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t read_chunk_bytes = 8UL * 1024;
//! Unread bytes at a close would reset the connection, and the client might lose the last response.
constexpr std::chrono::milliseconds linger_time{2000};

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

http_session::http_session(boost::asio::ip::tcp::socket connected, std::shared_ptr<session_context> shared)
    : socket(std::move(connected))
    , context(std::move(shared))
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    const auto buffer_bytes = static_cast<int>(this->context->limits.socket_buffer_bytes);
    if (buffer_bytes > 0) {
        this->socket.set_option(boost::asio::socket_base::receive_buffer_size(buffer_bytes), ignored);
        this->socket.set_option(boost::asio::socket_base::send_buffer_size(buffer_bytes), ignored);
    }
}

void http_session::start()
{
    this->prepare_next_request();
    this->continue_reading();
}

void http_session::prepare_next_request()
{
    const auto& limits = this->context->limits;
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    this->parser->body_limit(limits.max_body_bytes);
    this->pipeline.set_bounds({limits.max_pipelined_requests, limits.max_pipeline_bytes});
    this->is_request_partial = false;
    this->is_header_done = false;
    this->needs_continue_response = false;
    this->read_deadline = this->is_idle() ? now() + limits.idle_timeout : time_point::max();
}

void http_session::continue_reading()
{
    //! NOTE Reading continues while parsing is paused, since only a read detects that the client
    //! disconnected.
    const bool is_full = this->buffer.size() >= this->context->limits.max_header_bytes + read_chunk_bytes;
    if (this->is_awaiting_bytes || is_full || this->has_client_shut_down || !this->socket.is_open()) {
        return;
    }
    this->is_awaiting_bytes = true;
    //! NOTE Waiting first avoids a read buffer for each idle connection.
    this->socket.async_wait(boost::asio::socket_base::wait_read,
                            [self = pointer(this)](const boost::system::error_code& failure) {
                                self->is_awaiting_bytes = false;
                                self->on_readable(failure);
                            });
}

void http_session::on_readable(const boost::system::error_code& wait_failure)
{
    boost::system::error_code failure = wait_failure;
    std::size_t size = 0;
    if (!failure) {
        size = this->socket.read_some(this->buffer.prepare(read_chunk_bytes), failure);
    }
    if (failure == boost::asio::error::would_block) {
        this->continue_reading();
        return;
    }
    if (failure == boost::asio::error::eof && !this->is_lingering) {
        this->on_client_shutdown();
        return;
    }
    if (failure) {
        this->close();
        return;
    }
    if (this->is_lingering) {
        this->read_deadline = std::min(now() + linger_time, this->linger_deadline);
        this->continue_reading();
        return;
    }
    this->buffer.commit(size);
    this->arrivals.on_read(size, now());
    this->advance();
}

void http_session::on_client_shutdown()
{
    const pointer keep(this);
    this->has_client_shut_down = true;
    this->needs_continue_response = false;
    this->read_deadline = time_point::max();
    this->refuse_unstarted_requests();
    this->cancel_pending_exchanges();
    //! NOTE The client may have closed only its sending side and still read responses. A request that may run
    //! only once is therefore finished.
    this->write_next();
    if (this->is_idle()) {
        this->close();
    }
}

void http_session::cancel_pending_exchanges()
{
    const auto waiting = this->pipeline.pending_exchanges();
    const std::vector<exchange_ptr> cancelled(waiting.begin(), waiting.end());
    for (const auto& exchange : cancelled) {
        exchange->notify_cancelled();
    }
}

void http_session::parse()
{
    while (this->buffer.size() > 0 && this->parse_step()) {
    }
}

bool http_session::parse_step()
{
    if (!this->pipeline.has_room() || this->needs_continue_response || this->is_lingering) {
        return false;
    }
    if (!this->is_request_partial) {
        this->is_request_partial = true;
        //! NOTE The bytes may have waited behind other requests of the connection.
        this->received_at = this->arrivals.oldest(now());
        this->read_deadline = now() + this->context->limits.header_timeout;
    }
    this->parser->eager(this->is_header_done);
    boost::system::error_code failure;
    const auto used = this->parser->put(this->buffer.data(), failure);
    this->buffer.consume(used);
    this->arrivals.on_consumed(used);
    const bool needs_more = failure == beast_http::error::need_more || (!failure && used == 0);
    if (failure && !needs_more) {
        this->on_parse_error(failure);
        return false;
    }
    if (!this->is_header_done && this->parser->is_header_done()) {
        this->on_header();
        return true;
    }
    if (this->is_header_done && !this->reserve_memory()) {
        this->reject(status_unavailable, "the request's body does not fit into memory");
        return false;
    }
    if (this->parser->is_done()) {
        this->on_message();
        return true;
    }
    if (needs_more && this->buffer.size() > this->context->limits.max_header_bytes) {
        this->on_parse_error(beast_http::error::header_limit);
    }
    return !needs_more;
}

void http_session::on_header()
{
    this->is_header_done = true;
    const auto header_problem = this->header_error();
    if (!header_problem.empty()) {
        this->reject(status_malformed, header_problem);
        return;
    }
    if (this->parser->is_done()) {
        this->on_message();
        return;
    }
    this->arriving = reserve_from(this->context->limits.memory, message_kind::request);
    if (!this->reserve_memory()) {
        this->reject(status_unavailable, "the request's body does not fit into memory");
        return;
    }
    this->read_deadline = now() + this->context->limits.body_timeout;
    const auto& expect = this->parser->get()[beast_http::field::expect];
    this->needs_continue_response = boost::beast::iequals(expect, "100-continue");
}

bool http_session::reserve_memory()
{
    const auto announced = static_cast<std::size_t>(this->parser->content_length().value_or(0));
    return try_resize(this->arriving, std::max(announced, this->parser->get().body().capacity()));
}

std::string_view http_session::header_error() const
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
    this->needs_continue_response = false;
    this->is_writing = true;
    boost::asio::async_write(this->socket, boost::asio::buffer(interim),
                             [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                 self->is_writing = false;
                                 if (failure || self->has_client_shut_down) {
                                     self->close();
                                     return;
                                 }
                                 self->advance();
                             });
}

void http_session::on_parse_error(const boost::system::error_code& failure)
{
    if (failure == beast_http::error::body_limit) {
        this->reject(status_body_too_large, "request body is larger than this listener accepts");
    } else if (failure == beast_http::error::header_limit || failure == beast_http::error::buffer_overflow) {
        this->reject(status_headers_too_large, "request headers are larger than this listener accepts");
    } else {
        this->reject(status_malformed, "malformed request: " + failure.message());
    }
}

void http_session::on_message()
{
    request_pipeline::received_request arrived;
    arrived.request.headers = this->received_headers();
    auto message = this->parser->release();
    arrived.keeps_alive = message.keep_alive();
    arrived.is_head = message.method() == beast_http::verb::head;
    arrived.request.method = std::string(message.method_string());
    arrived.request.target = std::string(message.target());
    arrived.request.body = std::move(message.body());
    arrived.request.memory = std::move(this->arriving);
    arrived.received_at = this->received_at;
    arrived.may_run_concurrently = arrived.request.body.empty() && this->context->may_run_concurrently &&
                                   this->context->may_run_concurrently(arrived.request);
    this->pipeline.add(std::move(arrived));
    this->prepare_next_request();
}

void http_session::reject(unsigned status, std::string_view reason)
{
    http_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    if (this->context->on_rejection) {
        //! NOTE All headers have been read when the body turns out to be too large.
        if (status == status_body_too_large || this->is_header_done) {
            const auto headers = this->received_headers();
            this->context->on_rejection(response, &headers);
        } else {
            this->context->on_rejection(response, nullptr);
        }
    }
    this->is_request_partial = false;
    this->read_deadline = time_point::max();
    this->parser->get().body() = {};
    this->arriving.reset();
    this->pipeline.add_final_response(std::move(response));
}

header_list http_session::received_headers() const
{
    header_list headers;
    for (const auto& field : this->parser->get()) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

void http_session::advance()
{
    if (this->is_advancing) {
        return;
    }
    const pointer keep(this);
    this->is_advancing = true;
    this->parse();
    this->start_requests();
    this->write_next();
    this->is_advancing = false;
    this->continue_reading();
}

void http_session::start_requests()
{
    while (!this->has_client_shut_down && this->pipeline.first_unstarted() != nullptr) {
        //! NOTE The end of the stream may lie behind bytes that have not been read, so a read cannot find it.
        if (this->is_client_sending_closed()) {
            this->refuse_unstarted_requests();
            return;
        }
        auto next = this->pipeline.start_next();
        if (!next) {
            return;
        }
        this->start(std::move(*next));
    }
}

bool http_session::is_client_sending_closed()
{
    pollfd state{this->socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

void http_session::refuse_unstarted_requests()
{
    const auto* first = this->pipeline.first_unstarted();
    if (first == nullptr) {
        return;
    }
    auto response = text_response(status_unavailable,
                                  "the request was not begun, since the client had closed its sending side");
    if (this->context->on_rejection) {
        this->context->on_rejection(response, &first->headers);
    }
    this->pipeline.refuse_unstarted(std::move(response));
}

void http_session::start(request_pipeline::started_request next)
{
    const exchange_ptr exchange(
        new http_exchange(pointer(this), next.ticket, std::move(next.request), next.received_at));
    this->pipeline.bind(next.ticket, exchange.get());
    try {
        this->context->handler(exchange);
    } catch (const std::exception& failure) {
        log::event("http", "handler_failed",
                   {{"target", exchange->request().target}, {"detail", failure.what()}});
        exchange->respond(text_response(status_internal_error, "the request could not be handled"));
    }
}

void http_session::on_abandoned(request_ticket ticket)
{
    this->pipeline.bind(ticket, nullptr);
    this->close();
}

void http_session::send_response(request_ticket ticket, http_response response)
{
    if (!this->pipeline.set_response(ticket, std::move(response)) || !this->socket.is_open()) {
        return;
    }
    if (this->is_advancing) {
        return;
    }
    this->write_next();
}

void http_session::write_next()
{
    if (this->is_writing || !this->socket.is_open()) {
        return;
    }
    if (this->needs_continue_response && this->pipeline.is_empty()) {
        this->send_continue();
        return;
    }
    auto next = this->pipeline.take_response(this->context->is_closing);
    if (!next) {
        return;
    }
    this->is_writing = true;
    this->write_deadline = now() + this->context->limits.body_timeout;
    this->sending = std::move(next->response.memory);
    auto& message = this->outgoing.emplace();
    message.result(next->response.status);
    for (const auto& [name, value] : next->response.headers) {
        message.insert(name, value);
    }
    message.keep_alive(!next->closes);
    if (next->has_no_body) {
        //! NOTE The length is that of the body which a GET would get; unknown for a response from upstream.
        if (!next->response.body.empty()) {
            message.content_length(next->response.body.size());
        }
    } else {
        message.body() = std::move(next->response.body);
        message.prepare_payload();
    }
    beast_http::async_write(this->socket, message,
                            [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                self->on_response_written(failure);
                            });
}

void http_session::on_response_written(const boost::system::error_code& failure)
{
    const bool closes = this->outgoing && !this->outgoing->keep_alive();
    this->outgoing.reset();
    this->sending.reset();
    this->is_writing = false;
    this->write_deadline = time_point::max();
    const bool is_finished = this->has_client_shut_down && this->pipeline.is_empty();
    if (failure || is_finished || !this->socket.is_open()) {
        this->close();
        return;
    }
    if (closes) {
        this->linger();
        return;
    }
    if (!this->is_request_partial && this->is_idle()) {
        this->read_deadline = now() + this->context->limits.idle_timeout;
    }
    this->advance();
}

void http_session::linger()
{
    boost::system::error_code ignored;
    this->is_lingering = true;
    this->linger_deadline = now() + this->context->limits.body_timeout;
    this->read_deadline = now() + linger_time;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    this->buffer.clear();
    this->arrivals.clear();
    this->continue_reading();
}

void http_session::expire(time_point at)
{
    if (this->is_request_partial && at < this->write_deadline) {
        this->reject(status_timeout, "the request did not arrive in time");
        this->advance();
        return;
    }
    this->close();
}

void http_session::close()
{
    const pointer keep(this);
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    if (this->is_linked()) {
        this->unlink();
    }
    this->cancel_pending_exchanges();
    this->pipeline.clear();
}

http_exchange::http_exchange(boost::intrusive_ptr<http_session> parent, request_ticket own_ticket,
                             http_request received, time_point arrival_time)
    : session(std::move(parent))
    , ticket(own_ticket)
    , message(std::move(received))
    , arrived_at(arrival_time)
{
}

http_exchange::~http_exchange()
{
    if (!this->has_responded) {
        this->session->on_abandoned(this->ticket);
    }
}

void http_exchange::respond(http_response response)
{
    if (this->has_responded) {
        return;
    }
    this->has_responded = true;
    this->cancelled = nullptr;
    this->session->send_response(this->ticket, std::move(response));
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
