#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "http/http_exchange.h"
#include "http/http_server.h"
#include "http/internal/arrival_times.h"
#include "http/internal/request_pipeline.h"

namespace buckthornhill::http {
//! What all sessions of a listener share.
struct session_context
{
    server_limits limits;
    request_handler handler;
    rejection_hook on_rejection;
    concurrency_check may_run_concurrently;
    bool is_closing = false;
};

//! One accepted connection. It keeps reading while requests are in progress, so that pipelined requests can
//! run concurrently where allowed and a client that disconnects is noticed at once.
class http_session
    : public boost::intrusive_ref_counter<http_session, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<session_context> context);

    void start();
    void send_response(request_ticket ticket, http_response response);
    //! The request will get no response, so those behind it can get none either.
    void on_abandoned(request_ticket ticket);
    //! Closes the connection at once; requests in progress are cancelled.
    void close();
    bool is_expired(time_point now) const
    {
        return now >= this->read_deadline || now >= this->write_deadline;
    }
    //! Closes the connection; a request that was not whole yet is answered with 408 first.
    void expire(time_point now);
    //! Neither a request nor a response is in progress.
    bool is_idle() const { return this->pipeline.is_empty() && !this->is_writing; }

private:
    using pointer = boost::intrusive_ptr<http_session>;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void prepare_next_request();
    void continue_reading();
    void on_readable(const boost::system::error_code& failure);
    void on_client_shutdown();
    void parse();
    //! Parses what is buffered; false when more bytes are needed, or when parsing has to wait.
    bool parse_step();
    void on_header();
    void send_continue();
    void on_parse_error(const boost::system::error_code& failure);
    void on_message();
    //! Whether the body that is announced or has come fits into the memory budget.
    bool reserve_memory();
    //! Why the headers make the request unsafe to pass on, or an empty text.
    std::string_view header_error() const;
    header_list received_headers() const;
    void reject(unsigned status, std::string_view reason);
    void advance();
    void start_requests();
    //! The client sends nothing more, as far as the system knows; it may still read.
    bool is_client_sending_closed();
    //! Answers requests that have not been started with 503.
    void refuse_unstarted_requests();
    void start(request_pipeline::started_request next);
    void cancel_pending_exchanges();
    void write_next();
    void on_response_written(const boost::system::error_code& failure);
    void linger();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<session_context> context;
    boost::beast::flat_buffer buffer;
    arrival_times arrivals; //!< of the bytes in `buffer`
    std::optional<parser_type> parser;
    request_pipeline pipeline;
    memory_reservation_ptr arriving; //!< memory of the request that is being read
    memory_reservation_ptr sending;  //!< memory of `outgoing`
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> outgoing;
    time_point received_at{};                     //!< first byte of the request that is being read
    time_point read_deadline = time_point::max(); //!< for the rest of a request, or for the next one
    time_point write_deadline = time_point::max();
    time_point linger_deadline = time_point::max(); //!< for all that is discarded behind the last response
    bool is_awaiting_bytes = false;                 //!< for bytes from the client
    bool is_writing = false;
    bool is_request_partial = false;      //!< part of a request has been read
    bool is_header_done = false;          //!< of the request that is being read
    bool needs_continue_response = false; //!< the client waits for 100 before it sends the body
    bool is_advancing = false;            //!< prevents recursive calls of `advance`
    bool has_client_shut_down = false;    //!< it sends nothing more, and may still read
    bool is_lingering = false;            //!< the last response is out; what still comes in is discarded
};
} // namespace buckthornhill::http
