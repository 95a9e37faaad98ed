#include "http/internal/client_connection.h"

namespace buckthornhill::http {
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

client_connection::client_connection(asio::io_context& context, endpoint server, std::size_t body_limit,
                                     finished_hook hook)
    : socket(context)
    , remote(std::move(server))
    , max_body_bytes(body_limit)
    , on_finished(std::move(hook))
{
}

void client_connection::start(http_request request, time_point call_deadline)
{
    this->until = call_deadline;
    this->is_busy = true;
    this->was_sent = false;
    auto& message = this->outgoing.emplace();
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& [name, value] : request.headers) {
        message.insert(name, value);
    }
    message.set(beast_http::field::host, this->remote.str());
    message.body() = std::move(request.body);
    message.prepare_payload();
    if (this->is_connected) {
        this->write();
        return;
    }
    const asio::ip::tcp::endpoint target(asio::ip::make_address(this->remote.address), this->remote.port);
    this->socket.async_connect(target, [self = pointer(this)](const boost::system::error_code& failure) {
        if (!self->is_busy) {
            return;
        }
        if (failure) {
            self->finish(call_status::connect_failed, failure.message());
            return;
        }
        boost::system::error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->is_connected = true;
        self->write();
    });
}

bool client_connection::has_ended(const boost::system::error_code& failure)
{
    if (this->is_busy && failure) {
        this->finish(call_status::broken, failure.message());
    }
    return !this->is_busy;
}

void client_connection::write()
{
    this->was_sent = true;
    beast_http::async_write(this->socket, *this->outgoing,
                            [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                                if (!self->has_ended(failure)) {
                                    self->read();
                                }
                            });
}

void client_connection::read()
{
    this->parser.emplace();
    this->parser->body_limit(this->max_body_bytes);
    beast_http::async_read(this->socket, this->buffer, *this->parser,
                           [self = pointer(this)](const boost::system::error_code& failure, std::size_t) {
                               if (!self->has_ended(failure)) {
                                   self->finish_with_response();
                               }
                           });
}

void client_connection::finish_with_response()
{
    auto message = this->parser->release();
    //! NOTE A body without a length ends with the connection, so a cut cannot be told from its end.
    const bool has_length = message.has_content_length() || message.chunked() ||
                            message.result_int() == 204 || message.result_int() == 304;
    if (!has_length) {
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
    const bool is_reusable = message.keep_alive() && this->buffer.size() == 0;
    result.response.body = std::move(message.body());
    this->is_busy = false;
    this->on_finished(pointer(this), std::move(result), is_reusable);
}

void client_connection::finish(call_status status, const std::string& detail)
{
    const pointer keep(this);
    this->is_busy = false;
    this->close();
    call_result result;
    result.status = status;
    result.was_sent = this->was_sent;
    result.detail = detail;
    this->on_finished(keep, std::move(result), false);
}

void client_connection::abandon(call_status status)
{
    if (!this->is_busy) {
        return;
    }
    const bool never_sent = !this->was_sent && status == call_status::timed_out;
    this->finish(never_sent ? call_status::connect_failed : status,
                 never_sent ? "the connect did not finish in time" : "given up on");
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
