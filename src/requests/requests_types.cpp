#include "requests/requests_types.h"

#include <charconv>

#include "requests/requests_errors.h"

namespace buckthornhill::requests {
namespace {
std::uint64_t parse_number(std::string_view digits, std::string_view full_text)
{
    std::uint64_t number = 0;
    const auto* const last = digits.data() + digits.size();
    const auto [end, status] = std::from_chars(digits.data(), last, number);
    if (status != std::errc{} || end != last || digits.empty()) {
        throw requests_error("ticket '" + std::string(full_text) + "': expected <incarnation>.<number>");
    }
    return number;
}
} // namespace

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_executed:
        return "not-executed";
    case outcome::unknown:
        return "unknown";
    }
    throw requests_error("invalid outcome value");
}

outcome parse_outcome(std::string_view text)
{
    if (text == "done") {
        return outcome::done;
    }
    if (text == "not-executed") {
        return outcome::not_executed;
    }
    if (text == "unknown") {
        return outcome::unknown;
    }
    throw requests_error("outcome '" + std::string(text) + "': expected done, not-executed or unknown");
}

std::string to_string(const ticket& value)
{
    return std::to_string(value.incarnation.value()) + "." + std::to_string(value.number.value());
}

ticket parse_ticket(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        throw requests_error("ticket '" + std::string(text) + "': expected <incarnation>.<number>");
    }
    return {incarnation_id(parse_number(text.substr(0, dot), text)),
            ticket_number(parse_number(text.substr(dot + 1), text))};
}
} // namespace buckthornhill::requests
