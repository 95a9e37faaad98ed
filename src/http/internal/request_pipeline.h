#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "http/http_exchange.h"

namespace buckthornhill::http {
//! The requests of one connection, from their arrival until their answers go out: which may run beside
//! others, and which answer is next. No socket and no clock, so its order is tested without either.
//!
//! Requests that may be repeated run beside each other; every other one waits until it is the first.
//! What stands behind an answer that closes the connection is dropped and has not been started, so the client
//! may send it again (RFC 9112, 9.3.2).
class request_pipeline
{
public:
    struct bounds
    {
        std::size_t max_requests = 1; //!< that are known at a time
        std::size_t max_bytes = 0;    //!< of waiting requests and of answers held back, beyond the first
    };
    struct arrival
    {
        http_request request;
        time_point received_at;
        bool may_overlap = false; //!< may be repeated, so it may run beside others
        bool keeps_alive = true;  //!< the client wants to go on after it
    };
    struct start
    {
        request_ticket ticket;
        http_request request;
        time_point received_at;
    };
    struct outgoing
    {
        http_response response;
        bool closes = false; //!< the connection ends with this answer
    };

    void set_bounds(const bounds& wanted) { this->limits = wanted; }

    //! Another request may be read.
    bool has_room() const;
    bool is_empty() const { return this->entries.empty(); }
    //! No further request is to be read from the connection.
    bool is_closed() const { return this->takes_no_more; }
    void add(arrival request);
    //! `response` ends the connection once everything before it is answered.
    void add_last_answer(http_response response);

    //! The next request that may run now.
    std::optional<start> take_start();
    void bind(request_ticket ticket, http_exchange* exchange);
    //! False when the request is not waiting for its answer.
    bool answer(request_ticket ticket, http_response response);
    //! The answer to the first request, if it is there. With `ends_soon` the connection closes as soon as no
    //! request that was started stands behind.
    std::optional<outgoing> take_answer(bool ends_soon);

    //! Requests that were started and have no answer yet, the oldest first.
    std::vector<http_exchange*> unanswered() const;
    //! Forgets everything; nothing is taken any more.
    void clear();

private:
    struct entry
    {
        arrival received;
        bool is_started = false;
        http_exchange* exchange = nullptr;
        std::optional<http_response> response;
        std::size_t held_bytes = 0;
    };

    entry* find(request_ticket ticket);
    void drop_first();
    void set_held(entry& of, std::size_t bytes);

    bounds limits;
    std::deque<entry> entries;
    request_ticket first; //!< of the first entry; the others follow one by one
    std::size_t held = 0; //!< bytes, over all entries
    bool takes_no_more = false;
};
} // namespace buckthornhill::http
