#include "requests/handover_store.h"

namespace buckthornhill::requests {
void handover_store::accept(const ticket_handover& handover)
{
    if (!this->books.contains(handover.incarnation)) {
        this->order.push_back(handover.incarnation);
    }
    auto& book = this->books[handover.incarnation];
    book.low_water = handover.low_water;
    book.next_ticket = handover.next_ticket;
    book.ended = {handover.ended.begin(), handover.ended.end()};
    book.uncertain = {handover.uncertain.begin(), handover.uncertain.end()};
    while (this->order.size() > this->capacity) {
        this->books.erase(this->order.front());
        this->order.pop_front();
    }
}

outcome handover_store::outcome_of(const ticket& name) const
{
    const auto found = this->books.find(name.incarnation);
    if (found == this->books.end()) {
        return outcome::unknown;
    }
    const auto& book = found->second;
    const auto ended = book.ended.find(name.number);
    if (ended != book.ended.end()) {
        return ended->second;
    }
    const bool is_in_window = name.number >= book.low_water && name.number < book.next_ticket;
    return is_in_window && !book.uncertain.contains(name.number) ? outcome::not_executed : outcome::unknown;
}

std::vector<incarnation_id> handover_store::incarnations() const
{
    return {this->order.begin(), this->order.end()};
}
} // namespace buckthornhill::requests
