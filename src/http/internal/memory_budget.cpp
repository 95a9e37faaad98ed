#include "http/memory_budget.h"

#include <algorithm>

namespace buckthornhill::http {
std::size_t memory_budget::rejected(message_kind kind) const
{
    return kind == message_kind::request ? this->rejected_requests : this->rejected_responses;
}

bool memory_budget::try_change(message_kind kind, std::size_t current_bytes, std::size_t wanted_bytes)
{
    const bool is_request = kind == message_kind::request;
    if (wanted_bytes > current_bytes) {
        //! NOTE Written so that no sum can overflow: `wanted_bytes` is what the sender of a message claims.
        const auto added = wanted_bytes - current_bytes;
        const bool fits = wanted_bytes <= this->limits.message_bytes &&
                          added <= this->limits.total_bytes - this->used &&
                          (!is_request || added <= this->limits.request_bytes - this->used_by_requests);
        if (!fits) {
            ++(is_request ? this->rejected_requests : this->rejected_responses);
            return false;
        }
    }
    this->used = this->used - current_bytes + wanted_bytes;
    if (is_request) {
        this->used_by_requests = this->used_by_requests - current_bytes + wanted_bytes;
    }
    this->max_used = std::max(this->max_used, this->used);
    return true;
}

bool memory_budget::lacks_room(std::size_t current_bytes, std::size_t wanted_bytes) const
{
    return wanted_bytes > current_bytes && wanted_bytes <= this->limits.message_bytes &&
           wanted_bytes - current_bytes > this->limits.total_bytes - this->used;
}

memory_reservation::memory_reservation(memory_budget_ptr from, message_kind message)
    : budget(std::move(from))
    , kind(message)
{
}

memory_reservation::~memory_reservation()
{
    this->budget->try_change(this->kind, this->reserved, 0);
}

bool memory_reservation::try_resize(std::size_t bytes)
{
    if (!this->budget->try_change(this->kind, this->reserved, bytes)) {
        return false;
    }
    this->reserved = bytes;
    return true;
}

bool memory_reservation::lacks_room_for(std::size_t bytes) const
{
    return this->budget->lacks_room(this->reserved, bytes);
}

memory_reservation_ptr reserve_from(const memory_budget_ptr& budget, message_kind kind)
{
    return budget == nullptr ? nullptr : memory_reservation_ptr(new memory_reservation(budget, kind));
}

bool try_resize(const memory_reservation_ptr& reservation, std::size_t bytes)
{
    return reservation == nullptr || reservation->try_resize(bytes);
}
} // namespace buckthornhill::http
