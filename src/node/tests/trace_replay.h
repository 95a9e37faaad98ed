#pragma once

#include <string>
#include <vector>

namespace buckthornhill::node::testing {
//! Replays a recorded trace through one node and compares its actions with the stated outcomes.
//! A trace is JSON lines: events in order of `at_ms`, and `expect` lines about the actions since the last
//! event. Returns the differences, each with its line.
std::vector<std::string> replay_trace(const std::string& path);
} // namespace buckthornhill::node::testing
