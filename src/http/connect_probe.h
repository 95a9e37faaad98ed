#pragma once

#include <chrono>
#include <functional>

#include "http/http_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::http {
enum class connect_result {
    connected,
    refused, //!< the host is up, and no process listens at the port
    failed   //!< no response in time, or the host cannot be reached
};

//! Opens a connection to `server` and closes it again. `handler` is called once, never from inside this call.
void probe_connect(boost::asio::io_context& context, const endpoint& server,
                   std::chrono::milliseconds timeout, std::function<void(connect_result)> handler);
} // namespace buckthornhill::http
