#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "global/ids.h"
#include "global/units.h"

//! Runs each non-idempotent request at most once and reports on every response whether it ran.
namespace buckthornhill::requests {
enum class outcome {
    done,         //!< an upstream ran the request and this is its response
    not_executed, //!< the request was not run and never will be under this ticket
    unknown       //!< the request may have run
};

std::string_view to_string(outcome value);
outcome parse_outcome(std::string_view text);

//! Identifies one non-idempotent request. Only the incarnation that issued the ticket may start the request.
struct ticket
{
    incarnation_id incarnation;
    ticket_number number;

    friend bool operator==(const ticket&, const ticket&) = default;
};

std::string to_string(const ticket& value);
//! Throws `requests_error` when `text` is not `<incarnation>.<number>`.
ticket parse_ticket(std::string_view text);

//! Consecutive tickets of one incarnation.
struct ticket_block
{
    incarnation_id incarnation;
    ticket_number first;
    std::uint64_t count = 0;
};

//! An upstream's response, shared by a request and its resends.
struct response_record : boost::intrusive_ref_counter<response_record, boost::thread_unsafe_counter>
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t size() const { return this->body.size() + 64 * this->headers.size(); }
};

using response_ptr = boost::intrusive_ptr<response_record>;

struct requests_configuration
{
    std::uint64_t ticket_window = 1U << 20; //!< number of tickets above the low-water mark
    std::size_t max_kept_outcomes = 1U << 17;
    std::size_t max_kept_response_bytes = 4U << 20;
    double retry_ratio = 0.1; //!< retries for each first attempt
    double retry_burst = 20;
    int max_owner_attempts = 4;
    int max_upstream_attempts = 2;
};
} // namespace buckthornhill::requests
