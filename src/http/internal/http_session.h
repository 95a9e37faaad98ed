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

namespace buckthornhill::http {
//! What all sessions of a listener share.
struct session_context
{
    server_limits limits;
    request_handler handler;
    rejection_hook on_rejection;
    bool is_closing = false;
};

//! One accepted connection: reads a request, waits for its answer, writes it, and starts again.
class http_session
    : public boost::intrusive_ref_counter<http_session, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<session_context> context);

    void start();
    void write(http_response response);
    void close();
    bool is_expired(std::chrono::steady_clock::time_point now) const { return now >= this->deadline; }
    //! Closes the connection; a request that was not whole yet is answered with 408 first.
    void expire();

private:
    using pointer = boost::intrusive_ptr<http_session>;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class phase { idle, reading, waiting, writing };

    void await_request();
    void read_header();
    void on_header(const boost::system::error_code& failure);
    void send_continue();
    void read_body();
    //! Why the headers make the request unsafe to pass on, or an empty text.
    std::string_view fault_in_headers() const;
    //! Answers or closes after a failed read; false when there was no failure.
    bool has_rejected(const boost::system::error_code& failure);
    header_list received_headers() const;
    void on_written(const boost::system::error_code& failure);
    void reject(unsigned status, std::string_view reason);
    void dispatch();
    void watch_for_close();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<session_context> context;
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> outgoing;
    http_exchange* current = nullptr; //!< the exchange that waits for its answer; it holds this session
    std::chrono::steady_clock::time_point deadline;
    phase step = phase::idle;
    bool keep_alive = true;
    friend class http_exchange;
};
} // namespace buckthornhill::http
