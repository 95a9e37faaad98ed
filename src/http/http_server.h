#pragma once

#include <functional>
#include <memory>

#include "http/http_exchange.h"
#include "http/http_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::http {
//! Gets the rejection, and the request's headers or null when they were not read to their end.
using rejection_hook = std::function<void(http_response&, const header_list*)>;

//! Whether a request may run concurrently with others of its connection, which requires that it may be
//! repeated. Without the hook none may.
using concurrency_check = std::function<bool(const http_request&)>;

//! Listener that parses requests within limits and hands each to a handler on the context's thread.
class http_server
{
public:
    http_server(boost::asio::io_context& context, const endpoint& bind_to, const server_limits& limits,
                request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    //! The address in use, with the port that the system chose if 0 was asked for.
    endpoint local_endpoint() const;
    //! Sends responses with `Connection: close` from now on, while new connections are still taken.
    void announce_close();
    //! Takes no further connections and sends responses with `Connection: close` from now on.
    void stop_accepting();
    //! Holds for requests that start from now on.
    void set_limits(const server_limits& limits);
    //! `hook` completes the response to a request that the listener rejects itself.
    void on_rejection(rejection_hook hook);
    void on_concurrency_check(concurrency_check hook);
    //! No request is in progress and no response is being sent.
    bool is_idle() const;
    std::size_t connection_count() const;
    //! Closes every connection and the listener.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::http
