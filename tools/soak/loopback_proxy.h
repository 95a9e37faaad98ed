#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
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

//! Whether the two ends of a connection are cut off from each other now.
using cut_check = std::function<bool()>;
//! Called for each new connection with the address of its client; the result may be null.
using client_hook = std::function<cut_check(const http::endpoint& client)>;

//! Forwards TCP connections to a target on this machine and injects the network fault that `set_mode`
//! selects.
class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context& context, const http::endpoint& target,
                   const http::endpoint& listener = {"127.0.0.1", 0});
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    http::endpoint address() const;
    //! Bytes held back by `blackhole` or `block_responses` are delivered when the mode ends.
    void set_mode(proxy_mode mode);
    //! Of every hundred responses, so many are followed by bytes that belong to no request: a refusal or a
    //! 421 without an id, the same response once more, or bytes that are no response.
    void set_spoiling(unsigned per_hundred, std::uint64_t seed);
    //! Data of connections that are cut is held back in both directions.
    void on_client(client_hook hook);
    //! Resets all connections; new ones go to another target.
    void retarget(const http::endpoint& target);
    //! Responses so far that were followed by bytes that belong to no request.
    std::uint64_t spoiled_responses() const;
    //! Resets all connections and refuses new ones from now on.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::soak
