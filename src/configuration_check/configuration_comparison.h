#pragma once

#include <vector>

#include "configuration_check/configuration_check_types.h"

namespace buckthornhill::configuration_check {
//! Differences between the configuration in force and the one to be sent next, with what each means for
//! requests under way. Routes are the same when host and prefix are, since requests are bound by these.
std::vector<finding> compare_configurations(const routing::routing_configuration& in_force,
                                            const routing::routing_configuration& next);
} // namespace buckthornhill::configuration_check
