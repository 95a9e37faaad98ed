#pragma once

#include <string>

#include "http/http_types.h"

namespace buckthornhill::http {
//! An answer in plain text; a line end is added to `text`.
http_response text_response(unsigned status, std::string text);
//! A good answer with a JSON body.
http_response json_response(std::string body);
//! The same for another own process: packed where that pays.
http_response compressed_json_response(std::string body);
} // namespace buckthornhill::http
