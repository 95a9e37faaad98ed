#pragma once

#include <string_view>

namespace boost::asio {
class io_context;
}

namespace buckthornhill {
//! Runs the context until it is stopped, also while it has no work. An exception that escapes from a handler
//! ends only that handler: it is logged for `part`, and the other handlers still run.
void run_guarded(boost::asio::io_context& context, std::string_view part);
} // namespace buckthornhill
