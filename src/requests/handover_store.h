#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "requests/ticket_book.h"

namespace buckthornhill::requests {
//! Keeps the outcomes that stopped incarnations handed over. An incarnation seals its ticket book before
//! the handover, so a ticket within its window that the handover does not list never started and never will.
class handover_store
{
public:
    explicit handover_store(std::size_t max_incarnations)
        : capacity(max_incarnations)
    {
    }

    void accept(const ticket_handover& handover);
    bool contains(incarnation_id incarnation) const { return this->books.contains(incarnation); }
    outcome outcome_of(const ticket& id) const;
    std::vector<incarnation_id> incarnations() const;

private:
    struct closed_book
    {
        ticket_number low_water;
        ticket_number next_ticket;
        std::unordered_map<ticket_number, outcome> ended;
        std::unordered_set<ticket_number> uncertain;
    };

    std::size_t capacity;
    std::map<incarnation_id, closed_book> books;
    std::deque<incarnation_id> arrival_order;
};
} // namespace buckthornhill::requests
