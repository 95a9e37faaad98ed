#pragma once

#include <string>

#include "global/units.h"

namespace buckthornhill::node {
class entry_node;
}

namespace buckthornhill::burn {
class burn_recorder;
}

namespace buckthornhill::daemon {
//! The state of one instance as JSON for the operators' tool.
std::string status_report(node::entry_node& node, const burn::burn_recorder& burn, time_point now);
} // namespace buckthornhill::daemon
