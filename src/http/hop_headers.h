#pragma once

#include <string_view>

#include "http/http_types.h"

namespace buckthornhill::http {
//! Whether `name` concerns one connection only and is not passed on: `Connection`, `Keep-Alive`, framing and
//! the like. `Host` is not among them.
bool is_hop_header(std::string_view name);
//! Copies the end-to-end headers; also leaves out those that `Connection` names too.
void copy_end_to_end(const header_list& from, header_list& to);
} // namespace buckthornhill::http
