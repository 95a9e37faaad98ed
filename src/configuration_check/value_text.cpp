#include "configuration_check/value_text.h"

#include <array>
#include <charconv>

namespace buckthornhill::configuration_check {
std::string text_of(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string text_of(double number)
{
    constexpr std::size_t longest_double = 32;
    std::array<char, longest_double> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    return {text.data(), end};
}

std::string text_of(std::int64_t number)
{
    return std::to_string(number);
}

std::string text_of(std::size_t number)
{
    return std::to_string(number);
}

std::string text_of(int number)
{
    return std::to_string(number);
}

std::string text_of(bool value)
{
    return value ? "yes" : "no";
}

std::string text_of(const std::string& text)
{
    return "'" + text + "'";
}

std::string text_of(routing::repeat_rule rule)
{
    return rule == routing::repeat_rule::repeatable ? "repeatable" : "at-most-once";
}

std::string text_of(const std::set<region_id>& regions)
{
    std::string text;
    for (const auto& region : regions) {
        text += (text.empty() ? "" : ", ") + region.str();
    }
    return text.empty() ? "all" : text;
}

std::string text_of(const std::vector<routing::service_share>& shares)
{
    std::string text;
    for (const auto& share : shares) {
        text += (text.empty() ? "" : ", ") + share.service.str() + " " + text_of(share.weight);
    }
    return text;
}

std::string text_of(routing::configuration_version version)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 16;
    std::array<char, digits> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), version.value(), hexadecimal).ptr;
    return {text.data(), end};
}
} // namespace buckthornhill::configuration_check
