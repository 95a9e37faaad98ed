#pragma once

#include <cstddef>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace buckthornhill::http {
enum class message_kind { request, response };

//! Bounds on the bodies that a process holds at a time.
struct memory_limits
{
    std::size_t total_bytes = 0;
    std::size_t request_bytes = 0; //!< of the total, at most this much for the bodies of requests
    std::size_t message_bytes = 0; //!< for the body of one request or response
};

//! Accounts for the bodies of requests and responses from when they begin to arrive until they are sent.
//! It answers load whose bodies together exceed the memory of the process: what does not fit is refused
//! before it is received. Uses no socket and no clock. Used on one thread.
class memory_budget : public boost::intrusive_ref_counter<memory_budget, boost::thread_unsafe_counter>
{
public:
    explicit memory_budget(const memory_limits& bounds)
        : limits(bounds)
    {
    }

    std::size_t used_bytes() const { return this->used; }
    std::size_t max_used_bytes() const { return this->max_used; }
    //! Messages that did not fit.
    std::size_t rejected(message_kind kind) const;

private:
    friend class memory_reservation;

    bool try_change(message_kind kind, std::size_t current_bytes, std::size_t wanted_bytes);
    bool lacks_room(std::size_t current_bytes, std::size_t wanted_bytes) const;

    memory_limits limits;
    std::size_t used = 0;
    std::size_t used_by_requests = 0;
    std::size_t max_used = 0;
    std::size_t rejected_requests = 0;
    std::size_t rejected_responses = 0;
};

//! One body's part of the budget; given back when the last holder of the body drops it.
class memory_reservation
    : public boost::intrusive_ref_counter<memory_reservation, boost::thread_unsafe_counter>
{
public:
    memory_reservation(boost::intrusive_ptr<memory_budget> from, message_kind message);
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    //! Grows or shrinks the reservation. False when `bytes` do not fit; nothing has changed then.
    bool try_resize(std::size_t bytes);
    //! Whether `bytes` do not fit only because of what other messages hold.
    bool lacks_room_for(std::size_t bytes) const;
    std::size_t bytes() const { return this->reserved; }

private:
    boost::intrusive_ptr<memory_budget> budget;
    message_kind kind;
    std::size_t reserved = 0;
};

using memory_budget_ptr = boost::intrusive_ptr<memory_budget>;
using memory_reservation_ptr = boost::intrusive_ptr<memory_reservation>;

//! An empty reservation; null without a budget.
memory_reservation_ptr reserve_from(const memory_budget_ptr& budget, message_kind kind);
//! Whether `bytes` fit; they always do without a reservation.
bool try_resize(const memory_reservation_ptr& reservation, std::size_t bytes);
} // namespace buckthornhill::http
