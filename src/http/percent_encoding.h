#pragma once

#include <string>
#include <string_view>

namespace buckthornhill::http {
//! `text` as one segment of a path, or as a value in a query, of a target: every byte that RFC 3986 does not
//! call unreserved is percent-encoded. For any text that this process does not choose itself.
std::string percent_encoded(std::string_view text);
} // namespace buckthornhill::http
