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
    delay,            //!< every chunk of data is delayed
    blackhole,        //!< data is held back in both directions, and connections stay open
    block_responses,  //!< data from the client is forwarded, data from the target is held back
    lose_responses,   //!< data from the target is dropped; a connection that lost some gets nothing more
    add_refusals,     //!< each response is followed by a refusal that belongs to no request
    repeat_responses, //!< each response is sent twice
    cut_heads,        //!< connections end in the middle of the head of a response
    reset             //!< open connections are reset, and new ones as soon as they are accepted
};

//! Forwards TCP connections to a target on this machine and injects the network fault that `set_mode`
//! selects.
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
    //! Resets all connections and refuses new ones from now on.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::soak
