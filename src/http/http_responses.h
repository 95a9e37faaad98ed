#pragma once

#include <string>

#include "http/http_types.h"

namespace buckthornhill::http {
//! A plain text response; a line end is added to `text`.
http_response text_response(unsigned status, std::string text);
//! A response whose body is the JSON text `body`; the status stays at 200, the default of `http_response`.
http_response json_response(std::string body);
//! The same for another process of this project: compressed if the body is large enough.
http_response compressed_json_response(std::string body);
} // namespace buckthornhill::http
