#include "requests/handover_store.h"

namespace buckthornhill::requests {
void handover_store::accept(const ticket_handover& handover)
{
    if (!this->books.contains(handover.incarnation)) {
        this->arrival_order.push_back(handover.incarnation);
    }
    auto& book = this->books[handover.incarnation];
    book.low_water = handover.low_water;
    book.next_ticket = handover.next_ticket;
    book.ended = {handover.ended.begin(), handover.ended.end()};
    book.uncertain = {handover.uncertain.begin(), handover.uncertain.end()};
    while (this->arrival_order.size() > this->capacity) {
        this->books.erase(this->arrival_order.front());
        this->arrival_order.pop_front();
    }
}

outcome handover_store::outcome_of(const ticket& id) const
{
    const auto found = this->books.find(id.incarnation);
    if (found == this->books.end()) {
        return outcome::unknown;
    }
    const auto& book = found->second;
    const auto ended = book.ended.find(id.number);
    if (ended != book.ended.end()) {
        return ended->second;
    }
    const bool is_in_window = id.number >= book.low_water && id.number < book.next_ticket;
    return is_in_window && !book.uncertain.contains(id.number) ? outcome::not_executed : outcome::unknown;
}

std::vector<incarnation_id> handover_store::incarnations() const
{
    return {this->arrival_order.begin(), this->arrival_order.end()};
}
} // namespace buckthornhill::requests
