#pragma once

#include <string>

#include "global/units.h"

namespace buckthornhill::node {
class entry_node;
}

namespace buckthornhill::daemon {
//! What one instance knows, as JSON for the operators' tool.
std::string status_report(node::entry_node& node, time_point now);
} // namespace buckthornhill::daemon
