#include "http/internal/client_connection.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <poll.h>

namespace buckthornhill::http {
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

namespace {
constexpr unsigned first_status = 100;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_failure_status = 400;
constexpr unsigned end_of_statuses = 600; //!< RFC 9110, 15: a status beyond 599 is invalid
//! The shortest that the kernel allows; a silent connection is noticed after three seconds at most.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int max_unanswered_keep_alive_probes = 2;

//! No request asks for an upgrade, so a switch of protocols is not a response to any.
bool is_valid_status(unsigned status)
{
    return status >= first_status && status < end_of_statuses && status != status_switching_protocols;
}
} // namespace

client_connection::client_connection(asio::io_context& context, endpoint server, const client_limits& bounds,
                                     hooks call_hooks)
    : socket(context)
    , remote(std::move(server))
    , limits(bounds)
    , callbacks(std::move(call_hooks))
    , buffer(bounds.max_head_bytes)
{
}

void client_connection::start(http_request request, call_options options_to_use)
{
    this->options = std::move(options_to_use);
    this->is_busy = true;
    this->was_sent = false;
    this->awaits_write_result = false;
    this->skipped_responses = 0;
    auto& message = this->outgoing.emplace();
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& [name, value] : request.headers) {
        message.insert(name, value);
    }
    if (message.count(beast_http::field::host) == 0) {
        message.set(beast_http::field::host, this->remote.str());
    }
    message.body() = std::move(this->options.body);
    if (!request.body.empty()) {
        message.body() = std::make_shared<const std::string>(std::move(request.body));
    }
    message.prepare_payload();
    if (this->is_connected) {
        this->write();
        return;
    }
    this->connect_deadline = std::chrono::steady_clock::now() + this->limits.connect_timeout;
    const asio::ip::tcp::endpoint target(asio::ip::make_address(this->remote.address), this->remote.port);
    this->socket.async_connect(target, [self = pointer(this)](const boost::system::error_code& failure) {
        if (!self->is_busy) {
            return;
        }
        if (failure) {
            self->finish(call_status::connect_failed, failure.message());
            return;
        }
        self->is_connected = true;
        self->set_options();
        self->write();
    });
}

void client_connection::set_options()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (this->limits.unacknowledged_timeout.count() > 0) {
        using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        const user_timeout user_timeout_option(static_cast<int>(this->limits.unacknowledged_timeout.count()));
        this->socket.set_option(user_timeout_option, ignored);
        //! NOTE Without probes a connection that only waits for a response never detects a silent peer,
        //! since it has no unacknowledged data.
        using keep_alive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using keep_alive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        using keep_alive_probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
        this->socket.set_option(keep_alive_idle(keep_alive_idle_s), ignored);
        this->socket.set_option(keep_alive_interval(keep_alive_interval_s), ignored);
        this->socket.set_option(keep_alive_probes(max_unanswered_keep_alive_probes), ignored);
        this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    }
}

time_point client_connection::deadline() const
{
    const bool is_connecting = this->is_busy && !this->is_connected;
    return is_connecting ? std::min(this->connect_deadline, this->options.deadline) : this->options.deadline;
}

bool client_connection::finish_on_failure(const boost::system::error_code& failure)
{
    if (this->is_busy && failure) {
        this->finish(call_status::broken, failure.message());
    }
    return !this->is_busy;
}

void client_connection::write()
{
    this->was_sent = true;
    this->is_writing = true;
    //! NOTE The response may arrive before the request is written, and the server may then stop reading. A
    //! failed write therefore does not end the call: the read gets the response or the end of the connection.
    beast_http::async_write(this->socket, *this->outgoing,
                            [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                self->on_request_written(failure);
                            });
    this->read();
}

void client_connection::on_request_written(const boost::system::error_code& failure)
{
    this->is_writing = false;
    if (failure) {
        this->write_failure = failure;
    }
    if (this->closes_after_request) {
        this->close();
    } else if (this->is_busy && this->awaits_write_result) {
        this->on_response();
    }
}

void client_connection::read()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits.max_head_bytes));
    this->parser->body_limit(this->limits.max_body_bytes);
    this->parser->skip(this->outgoing->method() == beast_http::verb::head);
    this->parser->eager(true);
    this->response_bytes = 0;
    this->memory = reserve_from(this->limits.memory, message_kind::response);
    this->read_some();
}

void client_connection::read_some()
{
    beast_http::async_read_some(
        this->socket, this->buffer, *this->parser,
        [self = pointer(this)](const boost::system::error_code& failure, std::size_t size) {
            if (!self->finish_on_failure(failure)) {
                self->on_bytes_read(size);
            }
        });
}

void client_connection::on_bytes_read(std::size_t size)
{
    this->response_bytes += size;
    //! NOTE Checked before the body, which may never come.
    if (this->parser->is_header_done() && !is_valid_status(this->parser->get().result_int())) {
        this->finish(call_status::broken, "the response has an invalid status");
        return;
    }
    if (!this->reserve_memory()) {
        this->finish(call_status::broken, "the response does not fit into the memory budget");
        return;
    }
    if (this->parser->is_done()) {
        this->on_response();
        return;
    }
    //! NOTE The framing of chunks may take far more bytes than their data.
    if (this->response_bytes > 2 * (this->limits.max_body_bytes + this->limits.max_head_bytes)) {
        this->fail_oversized_response();
        return;
    }
    this->callbacks.on_buffer_growth();
    if (this->is_busy) {
        this->read_some();
    }
}

bool client_connection::reserve_memory()
{
    if (this->memory == nullptr || !this->parser->is_header_done()) {
        return true;
    }
    const std::size_t announced = this->parser->is_done() ? 0 : this->parser->content_length().value_or(0);
    const auto wanted = std::max(announced, this->parser->get().body().capacity());
    while (this->memory->lacks_room_for(wanted) && this->callbacks.make_room(*this, wanted)) {
    }
    return this->memory->try_resize(wanted);
}

std::size_t client_connection::open_ended_bytes() const
{
    const bool is_in_progress = this->is_busy && this->memory != nullptr && this->parser->is_header_done() &&
                                !this->parser->is_done();
    const bool has_open_end = is_in_progress && (this->parser->need_eof() || this->parser->chunked());
    return has_open_end ? this->memory->bytes() : 0;
}

void client_connection::fail_oversized_response()
{
    this->finish(call_status::broken, "the response is too large");
}

void client_connection::skip_response()
{
    if (++this->skipped_responses > this->limits.max_skipped_responses) {
        this->finish(call_status::broken, "too many responses that belong to no call");
        return;
    }
    this->read();
}

client_connection::stream_end client_connection::how_stream_ended()
{
    //! NOTE The kernel reports a reset once. When the write gets that error, the read gets the bytes that had
    //! arrived, and then the end of the stream as after an orderly close. When the end had arrived before the
    //! reset, the write gets EPIPE.
    if (this->write_failure) {
        return this->write_failure == asio::error::broken_pipe ? stream_end::orderly : stream_end::reset;
    }
    pollfd state{this->socket.native_handle(), 0, 0};
    const bool is_dead = ::poll(&state, 1, 0) > 0 && (state.revents & POLLHUP) != 0;
    return this->is_writing && is_dead ? stream_end::undecided : stream_end::orderly;
}

void client_connection::on_response()
{
    if (this->parser->need_eof()) {
        const auto end = this->how_stream_ended();
        if (end == stream_end::undecided) {
            this->awaits_write_result = true;
            return;
        }
        if (end == stream_end::reset) {
            this->finish(call_status::broken, "the connection was reset before the end of the response");
            return;
        }
    }
    auto message = this->parser->release();
    if (message.result_int() < first_final_status) {
        this->skip_response();
        return;
    }
    //! NOTE A body without a length or chunks ends with the connection, so a truncated one cannot be told
    //! from a complete one.
    const bool has_length = message.has_content_length() || message.chunked() ||
                            message.result_int() == 204 || message.result_int() == 304;
    if (!has_length && !this->options.accepts_unframed_body) {
        this->finish(call_status::broken, "the response has no length");
        return;
    }
    call_result result;
    result.status = call_status::complete;
    result.was_sent = true;
    result.response.status = message.result_int();
    for (const auto& field : message) {
        result.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    result.response.body = std::move(message.body());
    result.response.memory = std::move(this->memory);
    if (this->options.is_expected && !this->options.is_expected(result.response)) {
        this->has_received_unexpected_response = true;
        if (has_length) {
            this->skip_response();
        } else {
            this->finish(call_status::broken, "the response belongs to another request");
        }
        return;
    }
    //! NOTE After a failed write the server would take the next request for the rest of this one.
    const bool is_reusable = message.keep_alive() && has_length && this->buffer.size() == 0 &&
                             !this->has_received_unexpected_response && !this->is_writing &&
                             !this->write_failure;
    //! NOTE A server that answers early may still read the body, and must not find it cut.
    this->closes_after_request = this->is_writing && message.result_int() < first_failure_status;
    this->is_busy = false;
    this->idle_start = std::chrono::steady_clock::now();
    this->buffer.shrink_to_fit();
    if (!this->is_writing) {
        this->outgoing.reset();
    }
    this->callbacks.on_finished(pointer(this), std::move(result), is_reusable);
}

void client_connection::finish(call_status status, const std::string& detail)
{
    const pointer keep(this);
    this->is_busy = false;
    this->release_response();
    this->close();
    call_result result;
    result.status = status;
    result.was_sent = this->was_sent;
    result.detail = detail;
    this->callbacks.on_finished(keep, std::move(result), false);
}

void client_connection::release_response()
{
    //! NOTE The read in progress holds the connection until it has been cancelled.
    if (this->parser) {
        std::string().swap(this->parser->get().body());
    }
    this->memory.reset();
}

void client_connection::abandon(call_status status)
{
    if (!this->is_busy) {
        return;
    }
    //! NOTE A reset discards bytes that a network partition holds back. After a plain close they would still
    //! arrive once the partition ends, and run a request that was reported to its caller as failed.
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    const bool is_unsent_timeout = !this->was_sent && status == call_status::timed_out;
    this->finish(is_unsent_timeout ? call_status::connect_failed : status,
                 is_unsent_timeout ? "the connect did not finish in time"
                                   : "the call was cancelled or timed out");
}

bool client_connection::is_alive_when_idle()
{
    char byte = 0;
    boost::system::error_code status;
    this->socket.non_blocking(true, status);
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, status);
    return status == asio::error::would_block;
}

void client_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->is_connected = false;
    if (this->is_linked()) {
        this->unlink();
    }
}
} // namespace buckthornhill::http
