#pragma once

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "http/http_client.h"

namespace buckthornhill::http {
//! One outgoing connection that carries one call at a time.
class client_connection
    : public boost::intrusive_ref_counter<client_connection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using pointer = boost::intrusive_ptr<client_connection>;
    using finished_hook = std::function<void(const pointer&, call_result, bool is_reusable)>;

    client_connection(boost::asio::io_context& context, endpoint server, std::size_t max_body_bytes,
                      finished_hook on_finished);

    void start(http_request request, time_point call_deadline);
    //! Ends the call with `status` and closes the connection.
    void abandon(call_status status);
    //! The server has neither closed the idle connection nor sent anything on it.
    bool is_alive_when_idle();

    const endpoint& server() const { return this->remote; }
    time_point deadline() const { return this->until; }
    void set_deadline(time_point when) { this->until = when; }
    void close();

    call_id call;
    call_handler handler;

private:
    //! The call is over: it was given up on, or the step that just ended failed.
    bool has_ended(const boost::system::error_code& failure);
    void write();
    void read();
    void finish(call_status status, const std::string& detail);
    void finish_with_response();

    boost::asio::ip::tcp::socket socket;
    endpoint remote;
    std::size_t max_body_bytes;
    finished_hook on_finished;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request<boost::beast::http::string_body>> outgoing;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    time_point until;
    bool is_connected = false;
    bool was_sent = false;
    bool is_busy = false;
};
} // namespace buckthornhill::http
