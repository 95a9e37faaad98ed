#include "global/json_reader.h"

#include <boost/json.hpp>

namespace buckthornhill {
json_reader::json_reader(const boost::json::value& value, std::string path)
    : json_path(std::move(path))
{
    if (!value.is_object()) {
        throw json_error(this->json_path + ": expected an object");
    }
    this->object = &value.get_object();
}

const boost::json::value& json_reader::required(std::string_view key) const
{
    const auto* found = this->object->if_contains(key);
    if (found == nullptr) {
        throw json_error(this->json_path + "." + std::string(key) + ": missing");
    }
    return *found;
}

std::string json_reader::text(std::string_view key) const
{
    const auto& value = this->required(key);
    if (!value.is_string()) {
        throw json_error(this->json_path + "." + std::string(key) + ": expected a string");
    }
    return std::string(value.get_string());
}

std::string json_reader::text_or(std::string_view key, std::string_view fallback) const
{
    return this->has(key) ? this->text(key) : std::string(fallback);
}

std::int64_t json_reader::integer(std::string_view key) const
{
    boost::json::error_code failure;
    const auto number = this->required(key).to_number<std::int64_t>(failure);
    if (failure) {
        throw json_error(this->json_path + "." + std::string(key) + ": expected an integer");
    }
    return number;
}

std::int64_t json_reader::integer_or(std::string_view key, std::int64_t fallback) const
{
    return this->has(key) ? this->integer(key) : fallback;
}

std::uint64_t json_reader::unsigned_integer(std::string_view key) const
{
    boost::json::error_code failure;
    const auto number = this->required(key).to_number<std::uint64_t>(failure);
    if (failure) {
        throw json_error(this->json_path + "." + std::string(key) + ": expected a non-negative integer");
    }
    return number;
}

std::uint64_t json_reader::unsigned_integer_or(std::string_view key, std::uint64_t fallback) const
{
    return this->has(key) ? this->unsigned_integer(key) : fallback;
}

bool json_reader::flag_or(std::string_view key, bool fallback) const
{
    if (!this->has(key)) {
        return fallback;
    }
    const auto& value = this->required(key);
    if (!value.is_bool()) {
        throw json_error(this->json_path + "." + std::string(key) + ": expected true or false");
    }
    return value.get_bool();
}

const boost::json::array& json_reader::array(std::string_view key) const
{
    static const boost::json::array empty_array;
    if (!this->has(key)) {
        return empty_array;
    }
    const auto& value = this->required(key);
    if (!value.is_array()) {
        throw json_error(this->json_path + "." + std::string(key) + ": expected an array");
    }
    return value.get_array();
}

json_reader json_reader::element(std::string_view key, std::size_t index) const
{
    const auto& items = this->array(key);
    return {items.at(index), this->json_path + "." + std::string(key) + "[" + std::to_string(index) + "]"};
}

json_reader json_reader::child(std::string_view key) const
{
    return {this->required(key), this->json_path + "." + std::string(key)};
}

bool json_reader::has(std::string_view key) const
{
    return this->object->contains(key);
}

void json_reader::allow_only(std::string_view allowed) const
{
    const std::string padded = " " + std::string(allowed) + " ";
    for (const auto& member : *this->object) {
        const std::string key(member.key());
        if (padded.find(" " + key + " ") == std::string::npos) {
            throw json_error(this->json_path + "." + key + ": unknown key");
        }
    }
}

boost::json::value parse_json(std::string_view text, std::string_view path)
{
    boost::json::error_code failure;
    auto value = boost::json::parse(text, failure);
    if (failure) {
        throw json_error(std::string(path) + ": not valid JSON (" + failure.message() + ")");
    }
    return value;
}
} // namespace buckthornhill
