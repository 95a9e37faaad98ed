#pragma once

#include <optional>
#include <vector>

#include <sys/types.h>

#include "http/http_types.h"

namespace buckthornhill::soak {
//! Index of the process that has the TCP connection from `local` to `remote`, as Linux tells it; empty when
//! none of them has it. Processes that are gone are passed over.
std::optional<std::size_t> find_socket_owner(const std::vector<pid_t>& processes, const http::endpoint& local,
                                             const http::endpoint& remote);
} // namespace buckthornhill::soak
