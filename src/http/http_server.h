#pragma once

#include <functional>
#include <memory>

#include "http/http_exchange.h"
#include "http/http_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::http {
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
    //! Takes no further connections and answers with `Connection: close` from now on.
    void stop_accepting();
    std::size_t connection_count() const;
    //! Closes every connection and the listener.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::http
