#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/admission_types.h"
#include "requests/requests_types.h"

namespace buckthornhill::requests {
enum class ticket_state {
    fresh,     //!< issued and never started
    running,   //!< a resend waits for the same response
    ended,     //!< the outcome is still kept
    forgotten, //!< below the window, or the outcome was dropped; the request may have run
    never_issued
};

//! Outcomes of one incarnation's tickets, handed to a peer at a planned stop.
struct ticket_handover
{
    incarnation_id incarnation;
    ticket_number low_water;   //!< nothing is known about tickets below this number
    ticket_number next_ticket; //!< tickets from this number on were never issued
    std::vector<std::pair<ticket_number, outcome>> ended;
    std::vector<ticket_number> uncertain; //!< started, but still running or without a kept outcome
};

//! Anti-replay window over the tickets of one incarnation: one bit for each ticket above a low-water mark.
//! The bit of a started ticket stays set as long as the ticket is in the window, and tickets below the window
//! never start, so no ticket starts twice even after its outcome has been dropped.
class ticket_book
{
public:
    struct ended_ticket
    {
        outcome result = outcome::unknown;
        admission::refusal_reason reason = admission::refusal_reason::none;
        response_ptr response; //!< null once dropped to stay within the memory limit
    };

    ticket_book(incarnation_id incarnation, const requests_configuration& configuration);

    ticket_block issue(std::uint64_t count);
    ticket_state state_of(ticket_number number) const;
    //! Marks the ticket as started. Precondition: `state_of` returns `fresh` and the book is not sealed.
    void start(ticket_number number, flow_id flow);
    void end(ticket_number number, outcome result, admission::refusal_reason reason, response_ptr response);
    flow_id running_flow(ticket_number number) const;
    const ended_ticket* find_ended(ticket_number number) const;

    //! No ticket of this incarnation may start after this call.
    void seal() { this->is_sealed = true; }
    bool sealed() const { return this->is_sealed; }
    std::size_t running_count() const { return this->running.size(); }
    ticket_handover make_handover() const;
    ticket_number low_water() const { return ticket_number(this->window_start); }

private:
    bool is_started(std::uint64_t number) const;
    void advance_window(std::uint64_t new_start);
    void drop_excess();

    incarnation_id incarnation;
    requests_configuration configuration;
    std::vector<bool> started; //!< ring buffer of `ticket_window` bits, indexed by ticket number
    std::uint64_t window_start = 1;
    std::uint64_t next_number = 1;
    std::unordered_map<ticket_number, flow_id> running;
    std::unordered_map<ticket_number, ended_ticket> ended;
    std::deque<ticket_number> ended_order;
    std::deque<ticket_number> response_order;
    std::size_t response_bytes = 0;
    bool is_sealed = false;
};
} // namespace buckthornhill::requests
