#pragma once

#include <string>

#include "http/http_types.h"

//! Compressed bodies between own processes, by the content coding "deflate" (RFC 9110, 8.4.1.2).
namespace buckthornhill::http {
//! Compresses a body for which that pays, and says so in the headers.
void compress_body(header_list& headers, std::string& body);
//! The body as it was before `compress_body`. Throws `http_error` when the coding is unknown, the body is
//! damaged, or it would take more than `max_bytes`.
std::string decompressed_body(const header_list& headers, const std::string& body, std::size_t max_bytes);
} // namespace buckthornhill::http
