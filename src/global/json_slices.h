#pragma once

#include <map>
#include <string_view>
#include <vector>

//! Splits JSON texts into the texts of their parts without decoding these, so that one part that cannot be
//! decoded does not affect the others. The parts refer to the given text.
namespace buckthornhill {
//! The members of an object by their keys, which must not contain escapes. Throws `json_error` when `text` is
//! not a single object with balanced brackets and closed strings.
std::map<std::string_view, std::string_view> split_json_object(std::string_view text);
//! The elements of an array. Throws `json_error` like `split_json_object`.
std::vector<std::string_view> split_json_array(std::string_view text);
} // namespace buckthornhill
