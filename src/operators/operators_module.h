#pragma once

#include <string>

#include "operators/operators_types.h"

namespace buckthornhill::operators {
//! Runs one command and returns the text to print. Throws `operators_error` with the exit status.
std::string run_command(const parsed_command& command);
} // namespace buckthornhill::operators
