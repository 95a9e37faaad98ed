#pragma once

#include <string>

namespace buckthornhill::gateway {
//! How well an instance can tell which configuration was the newest before the store's current era. Ordered.
enum class witness_quality {
    none,   //!< it has started in this era and has heard from no witness
    lapsed, //!< it ran before, but its confirmation had lapsed when the era began
    recent, //!< it ran before, with a valid confirmation
    settled //!< it has compared what it knew with other instances
};

std::string to_string(witness_quality quality);
//! Throws `gateway_error` for an unknown name.
witness_quality parse_witness_quality(const std::string& name);
} // namespace buckthornhill::gateway
