#include "requests/ticket_book.h"

namespace buckthornhill::requests {
ticket_book::ticket_book(incarnation_id owner, const requests_configuration& settings)
    : incarnation(owner)
    , configuration(settings)
    , started(settings.ticket_window, false)
{
}

ticket_block ticket_book::issue(std::uint64_t count)
{
    const ticket_block block{this->incarnation, ticket_number(this->next_number), count};
    this->next_number += count;
    if (this->next_number - this->window_start > this->configuration.ticket_window) {
        this->advance_window(this->next_number - this->configuration.ticket_window);
    }
    return block;
}

void ticket_book::advance_window(std::uint64_t new_start)
{
    for (; this->window_start < new_start; ++this->window_start) {
        this->started[this->window_start % this->configuration.ticket_window] = false;
    }
}

bool ticket_book::is_started(std::uint64_t number) const
{
    return this->started[number % this->configuration.ticket_window];
}

ticket_state ticket_book::state_of(ticket_number number) const
{
    if (number.value() == 0 || number.value() >= this->next_number) {
        return ticket_state::never_issued;
    }
    if (this->running.contains(number)) {
        return ticket_state::running;
    }
    if (this->ended.contains(number)) {
        return ticket_state::ended;
    }
    if (number.value() < this->window_start || this->is_started(number.value())) {
        return ticket_state::forgotten;
    }
    return ticket_state::fresh;
}

void ticket_book::start(ticket_number number, flow_id flow)
{
    this->started[number.value() % this->configuration.ticket_window] = true;
    this->running.emplace(number, flow);
}

void ticket_book::end(ticket_number number, outcome result, admission::refusal_reason reason,
                      response_ptr response)
{
    this->running.erase(number);
    if (response) {
        this->response_bytes += response->size();
        this->response_order.push_back(number);
    }
    this->ended[number] = {result, reason, std::move(response)};
    this->ended_order.push_back(number);
    this->drop_excess();
}

void ticket_book::drop_excess()
{
    while (this->response_bytes > this->configuration.max_kept_response_bytes &&
           !this->response_order.empty()) {
        const auto found = this->ended.find(this->response_order.front());
        this->response_order.pop_front();
        if (found != this->ended.end() && found->second.response) {
            this->response_bytes -= found->second.response->size();
            found->second.response.reset();
        }
    }
    while (this->ended_order.size() > this->configuration.max_kept_outcomes) {
        const auto found = this->ended.find(this->ended_order.front());
        this->ended_order.pop_front();
        if (found != this->ended.end()) {
            this->response_bytes -= found->second.response ? found->second.response->size() : 0;
            this->ended.erase(found);
        }
    }
}

flow_id ticket_book::running_flow(ticket_number number) const
{
    const auto found = this->running.find(number);
    return found == this->running.end() ? flow_id{} : found->second;
}

const ticket_book::ended_ticket* ticket_book::find_ended(ticket_number number) const
{
    const auto found = this->ended.find(number);
    return found == this->ended.end() ? nullptr : &found->second;
}

ticket_handover ticket_book::make_handover() const
{
    ticket_handover handover{
        this->incarnation, ticket_number(this->window_start), ticket_number(this->next_number), {}, {}};
    for (const auto& [number, record] : this->ended) {
        handover.ended.emplace_back(number, record.result);
    }
    for (auto number = this->window_start; number < this->next_number; ++number) {
        if (this->is_started(number) && !this->ended.contains(ticket_number(number))) {
            handover.uncertain.emplace_back(number);
        }
    }
    return handover;
}
} // namespace buckthornhill::requests
