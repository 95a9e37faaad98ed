#pragma once

#include <functional>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "global/strong_number.h"
#include "global/units.h"
#include "http/http_types.h"

namespace buckthornhill::http {
class http_session;
//! Sequence number of a request on its connection.
using request_ticket = strong_number<struct request_ticket_tag, std::uint64_t>;

//! One request that a listener received and its response. Used on the listener's thread alone.
class http_exchange : public boost::intrusive_ref_counter<http_exchange, boost::thread_unsafe_counter>
{
public:
    http_exchange(boost::intrusive_ptr<http_session> session, request_ticket ticket, http_request request,
                  time_point received_at);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    const http_request& request() const { return this->message; }
    http_request& request() { return this->message; }
    //! When the request's first byte came, which is before its turn when others were in progress.
    time_point received_at() const { return this->arrived_at; }

    //! Sends the response. A second call, or one after the client left, does nothing.
    void respond(http_response response);
    //! `hook` is called when the client closes the connection before the response is sent.
    void on_cancelled(std::function<void()> hook) { this->cancelled = std::move(hook); }
    void notify_cancelled();

private:
    boost::intrusive_ptr<http_session> session;
    request_ticket ticket;
    http_request message;
    time_point arrived_at;
    std::function<void()> cancelled;
    bool has_responded = false;
};

using exchange_ptr = boost::intrusive_ptr<http_exchange>;
using request_handler = std::function<void(exchange_ptr)>;
} // namespace buckthornhill::http
