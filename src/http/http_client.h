#pragma once

#include <functional>
#include <memory>

#include "global/strong_number.h"
#include "global/units.h"
#include "http/http_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::http {
using call_id = strong_number<struct call_tag, std::uint64_t>;
using call_handler = std::function<void(call_result)>;

enum class connection_choice {
    reuse,  //!< an idle connection if one is open, else a new one
    recent, //!< an idle connection if it was used a moment ago, so that the server has hardly closed it
    fresh   //!< a new connection: a failed connect then proves that the server read nothing
};

//! How one call is made.
struct call_options
{
    time_point deadline;
    //! Sent in place of the body of the request, without a copy; null: the request has its own.
    std::shared_ptr<const std::string> body{};
    connection_choice choice = connection_choice::reuse;
    bool accepts_unframed_body =
        false; //!< a response without a length, which ends with its connection, is whole
    //! When set, responses for which it is false belong to no call and are skipped.
    std::function<bool(const http_response&)> is_expected;
};

//! Sends requests, one at a time on a connection, and keeps idle connections for reuse.
//! A connection whose call was abandoned is closed and never reused.
class http_client
{
public:
    http_client(boost::asio::io_context& context, const client_limits& limits);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    //! `handler` is called once, never from inside this call.
    call_id send(const endpoint& server, http_request request, time_point deadline, connection_choice choice,
                 call_handler handler);
    call_id send(const endpoint& server, http_request request, call_options options, call_handler handler);
    //! Closes the call's connection; its handler gets `cancelled`.
    void cancel(call_id call);
    void close();
    //! Bytes in memory of responses that are being received.
    std::size_t buffered_bytes() const;
    //! Bytes in memory of messages that idle connections still hold.
    std::size_t idle_bytes() const;

private:
    class implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill::http
