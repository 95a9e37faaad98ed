#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "http/http_exchange.h"

namespace buckthornhill::http {
//! The requests of one connection, from their arrival until their responses are sent: decides which may
//! run concurrently and which response is next. Uses no socket and no clock, so it can be tested without.
//!
//! Requests that may be repeated run concurrently; any other request waits until it is the first.
//! A request behind a response that closes the connection is dropped and has not been started, so the client
//! may send it again (RFC 9112, 9.3.2).
class request_pipeline
{
public:
    struct bounds
    {
        std::size_t max_requests = 1; //!< that are known at a time
        std::size_t max_bytes =
            0; //!< of waiting requests and of responses that wait for earlier ones, beyond the first
    };
    struct received_request
    {
        http_request request;
        time_point received_at;
        bool may_run_concurrently = false; //!< may be repeated, so it may run concurrently with others
        bool keeps_alive = true;           //!< the client wants to go on after it
        bool is_head = false;              //!< its response has no body (RFC 9110, 9.3.2)
    };
    struct started_request
    {
        request_ticket ticket;
        http_request request;
        time_point received_at;
    };
    struct outgoing
    {
        http_response response;
        bool closes = false;      //!< the connection ends with this response
        bool has_no_body = false; //!< only the headers are sent
    };

    void set_bounds(const bounds& new_bounds) { this->limits = new_bounds; }

    //! Another request may be read.
    bool has_room() const;
    bool is_empty() const { return this->entries.empty(); }
    //! No further request is to be read from the connection.
    bool is_closed() const { return this->is_input_closed; }
    void add(received_request request);
    //! `response` ends the connection once everything before it is answered.
    void add_final_response(http_response response);

    //! The next request that may run now.
    std::optional<started_request> start_next();
    //! The oldest request that has not been started, whether or not it may run now; null when none is left.
    const http_request* first_unstarted() const;
    //! Drops the requests that have not been started; `response` answers the first of them and ends the
    //! connection.
    void refuse_unstarted(http_response response);
    void bind(request_ticket ticket, http_exchange* exchange);
    //! False when the request is not waiting for its response.
    bool set_response(request_ticket ticket, http_response response);
    //! The response to the first request, if it is there. With `is_closing` the connection closes as soon as
    //! no request that was read is left.
    std::optional<outgoing> take_response(bool is_closing);

    //! Requests that were started and have no response yet, the oldest first.
    std::vector<http_exchange*> pending_exchanges() const;
    //! Drops all requests and accepts no further ones.
    void clear();

private:
    struct entry
    {
        received_request received;
        bool is_started = false;
        http_exchange* exchange = nullptr;
        std::optional<http_response> response;
        std::size_t retained_bytes = 0;
    };

    entry* find(request_ticket ticket);
    void drop_front();
    void set_retained_bytes(entry& of, std::size_t bytes);

    bounds limits;
    std::deque<entry> entries;
    request_ticket front_ticket;          //!< of the first entry; the others follow one by one
    std::size_t total_retained_bytes = 0; //!< bytes, over all entries
    bool is_input_closed = false;
};
} // namespace buckthornhill::http
