#pragma once

#include <chrono>

#include "http/http_client.h"

namespace buckthornhill::http {
//! Sends one request and waits for its result; for tools, which have nothing else to do.
call_result call_and_wait(const endpoint& server, http_request request, std::chrono::milliseconds timeout);
} // namespace buckthornhill::http
