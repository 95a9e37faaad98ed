#pragma once

#include <vector>

#include "configuration_check/configuration_check_types.h"

namespace buckthornhill::configuration_check {
//! Finds entries of a decoded configuration that have no effect and limits that contradict each other.
//!
//! A longer prefix of the same host is never reported: the shorter prefix is itself a path, which the longer
//! one does not match, so the shorter one always keeps some requests.
std::vector<finding> check_configuration(const routing::routing_configuration& configuration,
                                         const check_settings& settings = {});
} // namespace buckthornhill::configuration_check
