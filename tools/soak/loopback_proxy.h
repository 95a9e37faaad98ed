#pragma once

#include <chrono>
#include <memory>

#include "http/http_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::soak {
enum class proxy_mode {
    pass,
    delay,           //!< every piece of data comes late
    blackhole,       //!< nothing gets through, and nobody is told
    block_responses, //!< what the client sends arrives, what comes back does not
    reset            //!< connections are reset, new ones at once
};

//! Passes TCP connections on to a target on this machine and spoils them as told.
class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context& context, const http::endpoint& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    http::endpoint address() const;
    //! Bytes held back by `blackhole` or `block_responses` are delivered when the mode ends.
    void set_mode(proxy_mode mode);

private:
    struct implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::soak
