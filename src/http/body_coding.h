#pragma once

#include <string>

#include "http/http_types.h"

//! Compression of bodies between processes of this project, by the content coding "deflate" (RFC
//! 9110, 8.4.1.2).
namespace buckthornhill::http {
//! Compresses the body if it is large enough, and then adds `Content-Encoding` to the headers.
void compress_body(header_list& headers, std::string& body);
//! The body as it was before `compress_body`. Throws `http_error` when the coding is unknown, the body is
//! damaged, or its decompressed size exceeds `max_bytes`.
std::string decompressed_body(const header_list& headers, const std::string& body, std::size_t max_bytes);
} // namespace buckthornhill::http
