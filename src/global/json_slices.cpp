#include "global/json_slices.h"

#include "global/json_reader.h"

namespace buckthornhill {
namespace {
constexpr std::string_view json_blanks = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(json_blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(json_blanks) - first + 1);
}

//! Index behind the string that starts at `start`.
std::size_t end_of_string(std::string_view text, std::size_t start)
{
    for (auto position = start + 1; position < text.size(); ++position) {
        if (text[position] == '\\') {
            ++position;
        } else if (text[position] == '"') {
            return position + 1;
        }
    }
    throw json_error("a string is not closed");
}

//! Splits the inside of a container at the separators that are in no inner container and in no string.
std::vector<std::string_view> split_at(std::string_view inside, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t part_start = 0;
    std::size_t depth = 0;
    for (std::size_t position = 0; position < inside.size();) {
        const char letter = inside[position];
        if (letter == '"') {
            position = end_of_string(inside, position);
            continue;
        }
        if (letter == '{' || letter == '[') {
            ++depth;
        } else if (letter == '}' || letter == ']') {
            if (depth == 0) {
                throw json_error("a closing bracket has no opening one");
            }
            --depth;
        } else if (letter == separator && depth == 0) {
            parts.push_back(trimmed(inside.substr(part_start, position - part_start)));
            part_start = position + 1;
        }
        ++position;
    }
    if (depth != 0) {
        throw json_error("a bracket is not closed");
    }
    parts.push_back(trimmed(inside.substr(part_start)));
    return parts;
}

//! The text between the outer brackets.
std::string_view inside_of(std::string_view text, char open, char close)
{
    const auto whole = trimmed(text);
    if (whole.size() < 2 || whole.front() != open || whole.back() != close) {
        throw json_error(std::string("expected a text in ") + open + close);
    }
    return trimmed(whole.substr(1, whole.size() - 2));
}
} // namespace

std::map<std::string_view, std::string_view> split_json_object(std::string_view text)
{
    std::map<std::string_view, std::string_view> members;
    const auto inside = inside_of(text, '{', '}');
    if (inside.empty()) {
        return members;
    }
    for (const auto& member : split_at(inside, ',')) {
        if (member.empty() || member.front() != '"') {
            throw json_error("a member of an object has no key");
        }
        const auto key_end = end_of_string(member, 0);
        const auto value = trimmed(member.substr(key_end));
        if (value.empty() || value.front() != ':') {
            throw json_error("a member of an object has no value");
        }
        members.emplace(member.substr(1, key_end - 2), trimmed(value.substr(1)));
    }
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text)
{
    const auto inside = inside_of(text, '[', ']');
    return inside.empty() ? std::vector<std::string_view>{} : split_at(inside, ',');
}
} // namespace buckthornhill
