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
    const ticket_block block{this->incarnation, ticket_number(this->next), count};
    this->next += count;
    if (this->next - this->low > this->configuration.ticket_window) {
        this->slide_to(this->next - this->configuration.ticket_window);
    }
    return block;
}

void ticket_book::slide_to(std::uint64_t new_low)
{
    for (; this->low < new_low; ++this->low) {
        this->started[this->low % this->configuration.ticket_window] = false;
    }
}

bool ticket_book::is_started(std::uint64_t number) const
{
    return this->started[number % this->configuration.ticket_window];
}

ticket_verdict ticket_book::check(ticket_number number) const
{
    if (number.value() == 0 || number.value() >= this->next) {
        return ticket_verdict::never_issued;
    }
    if (this->running.contains(number)) {
        return ticket_verdict::running;
    }
    if (this->ended.contains(number)) {
        return ticket_verdict::ended;
    }
    if (number.value() < this->low || this->is_started(number.value())) {
        return ticket_verdict::forgotten;
    }
    return ticket_verdict::fresh;
}

void ticket_book::start(ticket_number number, flow_id flow)
{
    this->started[number.value() % this->configuration.ticket_window] = true;
    this->running.emplace(number, flow);
}

void ticket_book::end(ticket_number number, outcome result, admission::refusal_reason reason,
                      answer_ptr answer)
{
    this->running.erase(number);
    if (answer) {
        this->answer_bytes += answer->size();
        this->answer_order.push_back(number);
    }
    this->ended[number] = {result, reason, std::move(answer)};
    this->ended_order.push_back(number);
    this->drop_excess();
}

void ticket_book::drop_excess()
{
    while (this->answer_bytes > this->configuration.max_kept_answer_bytes && !this->answer_order.empty()) {
        const auto found = this->ended.find(this->answer_order.front());
        this->answer_order.pop_front();
        if (found != this->ended.end() && found->second.answer) {
            this->answer_bytes -= found->second.answer->size();
            found->second.answer.reset();
        }
    }
    while (this->ended_order.size() > this->configuration.max_kept_outcomes) {
        const auto found = this->ended.find(this->ended_order.front());
        this->ended_order.pop_front();
        if (found != this->ended.end()) {
            this->answer_bytes -= found->second.answer ? found->second.answer->size() : 0;
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
    ticket_handover handover{this->incarnation, ticket_number(this->low), ticket_number(this->next), {}, {}};
    for (const auto& [number, known] : this->ended) {
        handover.ended.emplace_back(number, known.result);
    }
    for (auto number = this->low; number < this->next; ++number) {
        if (this->is_started(number) && !this->ended.contains(ticket_number(number))) {
            handover.uncertain.emplace_back(number);
        }
    }
    return handover;
}
} // namespace buckthornhill::requests
