#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/fwd.hpp>

#include "global/error.h"

namespace buckthornhill {
//! A JSON value is missing or of the wrong kind; the message gives the path to it.
class json_error : public error
{
public:
    using error::error;
};

//! Reads typed values out of a JSON object. Errors give the path, for example `plans[2].name`.
class json_reader
{
public:
    json_reader(const boost::json::value& value, std::string path);

    const std::string& path() const { return this->json_path; }
    std::string text(std::string_view key) const;
    std::string text_or(std::string_view key, std::string_view fallback) const;
    std::int64_t integer(std::string_view key) const;
    std::int64_t integer_or(std::string_view key, std::int64_t fallback) const;
    std::uint64_t unsigned_integer(std::string_view key) const;
    std::uint64_t unsigned_integer_or(std::string_view key, std::uint64_t fallback) const;
    bool flag_or(std::string_view key, bool fallback) const;
    //! The array under `key`; an absent key is an empty array.
    const boost::json::array& array(std::string_view key) const;
    //! Reader of the element `index` of the array under `key`.
    json_reader element(std::string_view key, std::size_t index) const;
    json_reader child(std::string_view key) const;
    bool has(std::string_view key) const;
    //! Throws unless each key of the object is among `allowed` (separated by single spaces).
    void allow_only(std::string_view allowed) const;

private:
    const boost::json::value& required(std::string_view key) const;

    const boost::json::object* object;
    std::string json_path;
};

//! Parses `text`; errors start with `path`.
boost::json::value parse_json(std::string_view text, std::string_view path);
} // namespace buckthornhill
