#pragma once

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "http/http_client.h"
#include "http/internal/shared_body.h"

namespace buckthornhill::http {
//! One outgoing connection that carries one call at a time.
class client_connection
    : public boost::intrusive_ref_counter<client_connection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using pointer = boost::intrusive_ptr<client_connection>;
    struct hooks
    {
        std::function<void(const pointer&, call_result, bool is_reusable)> on_finished;
        //! More of the response is in memory than before.
        std::function<void()> on_buffer_growth;
        //! The response needs so many bytes, which do not fit. Ends a larger one if that may help; returns
        //! whether it did.
        std::function<bool(const client_connection&, std::size_t bytes)> make_room;
    };

    client_connection(boost::asio::io_context& context, endpoint server, const client_limits& limits,
                      hooks callbacks);

    void start(http_request request, call_options call);
    //! Ends the call with `status` and closes the connection.
    void abandon(call_status status);
    //! The server has neither closed the idle connection nor sent anything on it.
    bool is_alive_when_idle();

    const endpoint& server() const { return this->remote; }
    //! When the sweep has to act: the connect is late, the call is late, or the idle time is over.
    time_point deadline() const;
    void set_deadline(time_point when) { this->options.deadline = when; }
    time_point idle_since() const { return this->idle_start; }
    //! Of the response that is being read.
    std::size_t buffered_bytes() const { return this->is_busy ? this->response_bytes : 0; }
    //! Memory of a response whose end is not known yet; 0 when it tells its length.
    std::size_t open_ended_bytes() const;
    //! Of the last request and of what was read behind its response.
    std::size_t held_bytes() const
    {
        return (this->outgoing && this->outgoing->body() ? this->outgoing->body()->capacity() : 0) +
               this->buffer.capacity();
    }
    //! A complete response came while the request is still being written.
    bool is_finishing_request() const { return this->closes_after_request; }
    //! Ends the call as broken, since the response is too large to go on.
    void fail_oversized_response();
    void close();

    call_id call;
    call_handler handler;

private:
    //! Finishes the call as broken on `failure`; returns whether it is over.
    bool finish_on_failure(const boost::system::error_code& failure);
    void set_options();
    void write();
    void read();
    void read_some();
    void on_bytes_read(std::size_t size);
    void on_request_written(const boost::system::error_code& failure);
    //! Whether the body that is announced or has come fits into the memory budget.
    bool reserve_memory();
    void on_response();
    enum class stream_end {
        orderly,
        reset,    //!< bytes of the response may be missing
        undecided //!< until the write in progress ends
    };
    stream_end how_stream_ended();
    //! Waits for the next response; the last one does not answer the call.
    void skip_response();
    void finish(call_status status, const std::string& detail);
    void release_response();

    boost::asio::ip::tcp::socket socket;
    endpoint remote;
    client_limits limits;
    hooks callbacks;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request<shared_body>> outgoing;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    memory_reservation_ptr memory; //!< of the response that is being read
    call_options options;
    time_point connect_deadline{};
    time_point idle_start{};
    std::size_t response_bytes = 0; //!< received for the response that is being read
    int skipped_responses = 0;      //!< during this call
    bool is_connected = false;
    bool has_received_unexpected_response = false;
    bool was_sent = false;
    bool is_busy = false;
    bool is_writing = false;
    boost::system::error_code write_failure;
    bool awaits_write_result = false;  //!< which tells whether the response is complete
    bool closes_after_request = false; //!< the call is over, and the rest of its request is being written
};
} // namespace buckthornhill::http
