#include <catch2/catch.hpp>

#include "requests/handover_store.h"
#include "requests/requests_errors.h"
#include "requests/retry_budget.h"
#include "requests/ticket_book.h"

using namespace buckthornhill;
using namespace buckthornhill::requests;
using admission::refusal_reason;

namespace {
requests_configuration small_window()
{
    requests_configuration configuration;
    configuration.ticket_window = 8;
    configuration.max_kept_outcomes = 3;
    configuration.max_kept_response_bytes = 100;
    return configuration;
}

response_ptr response_of_size(std::size_t bytes)
{
    response_ptr response(new response_record);
    response->body.assign(bytes, 'x');
    return response;
}
} // namespace

SCENARIO("a ticket starts at most once even after its outcome was dropped", "[requests]")
{
    // [GIVEN] A book with a window of 8 tickets and 3 kept outcomes
    ticket_book book(incarnation_id(5), small_window());
    book.issue(4);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        REQUIRE(book.state_of(ticket_number(number)) == ticket_state::fresh);
        book.start(ticket_number(number), flow_id(number));
        REQUIRE(book.state_of(ticket_number(number)) == ticket_state::running);
        book.end(ticket_number(number), outcome::done, refusal_reason::none, response_of_size(60));
    }
    // [WHEN] More tickets end than outcomes are kept [THEN] the oldest outcome is dropped and its ticket may
    // not start again
    REQUIRE(book.state_of(ticket_number(1)) == ticket_state::forgotten);
    REQUIRE(book.state_of(ticket_number(4)) == ticket_state::ended);
    // [THEN] Responses beyond the byte limit are dropped, their outcomes are kept
    REQUIRE(book.find_ended(ticket_number(3))->response == nullptr);
    REQUIRE(book.find_ended(ticket_number(4))->response != nullptr);
    // [WHEN] The window advances past a running ticket and past unused ones
    book.issue(2);
    book.start(ticket_number(5), flow_id(5));
    book.issue(20);
    // [THEN] The running one is still known, and the unused one counts as possibly run
    REQUIRE(book.state_of(ticket_number(5)) == ticket_state::running);
    REQUIRE(book.state_of(ticket_number(6)) == ticket_state::forgotten);
    REQUIRE(book.state_of(ticket_number(26)) == ticket_state::fresh);
    REQUIRE(book.state_of(ticket_number(27)) == ticket_state::never_issued);
    REQUIRE(book.state_of(ticket_number(0)) == ticket_state::never_issued);
}

SCENARIO("a handover reports the outcomes of a stopped incarnation", "[requests]")
{
    // [GIVEN] A sealed book with a done, a refused, an unfinished and an unused ticket
    ticket_book book(incarnation_id(5), small_window());
    book.issue(4);
    book.start(ticket_number(1), flow_id(1));
    book.end(ticket_number(1), outcome::done, refusal_reason::none, nullptr);
    book.start(ticket_number(2), flow_id(2));
    book.end(ticket_number(2), outcome::not_executed, refusal_reason::overloaded, nullptr);
    book.start(ticket_number(3), flow_id(3));
    book.seal();
    // [WHEN] A peer accepts the handover
    handover_store store(2);
    store.accept(book.make_handover());
    // [THEN] It reports the known outcomes; of the other tickets only the one never started is not executed
    const auto result = [&](std::uint64_t number) {
        return store.outcome_of({incarnation_id(5), ticket_number(number)});
    };
    REQUIRE(result(1) == outcome::done);
    REQUIRE(result(2) == outcome::not_executed);
    REQUIRE(result(3) == outcome::unknown);
    REQUIRE(result(4) == outcome::not_executed);
    REQUIRE(result(5) == outcome::unknown);
    REQUIRE(store.outcome_of({incarnation_id(6), ticket_number(1)}) == outcome::unknown);
}

SCENARIO("retries are limited to a fraction of first attempts", "[requests]")
{
    // [GIVEN] A budget of a tenth with a burst of 2 [WHEN] 100 first attempts each request a retry
    retry_budget budget(0.1, 2);
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        budget.on_first_attempt();
        retries += budget.try_spend() ? 1 : 0;
    }
    // [THEN] A tenth of them and the burst get one
    REQUIRE(retries >= 11);
    REQUIRE(retries <= 12);
}

SCENARIO("malformed tickets are rejected", "[requests]")
{
    REQUIRE(parse_ticket("7.9") == ticket{incarnation_id(7), ticket_number(9)});
    for (const auto* malformed : {"", "7", "7.", ".9", "7.9x", "-7.9", "7.99999999999999999999999"}) {
        REQUIRE_THROWS_AS(parse_ticket(malformed), requests_error);
    }
}
