#pragma once

#include <cstddef>

#include "global/units.h"
#include "http/http_client.h"

namespace buckthornhill::soak {
//! Sends a request on a connection of its own with its body in chunks of `chunk_bytes`, which `http_client`
//! does not do. `handler` is called once, never from inside this call.
void send_in_chunks(boost::asio::io_context& context, const http::endpoint& server,
                    const http::http_request& request, std::size_t chunk_bytes, time_point deadline,
                    http::call_handler handler);
} // namespace buckthornhill::soak
