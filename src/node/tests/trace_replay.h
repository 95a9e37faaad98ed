#pragma once

#include <string>
#include <vector>

namespace buckthornhill::node::testing {
//! Replays a recorded trace through one node and compares its actions with the expected ones.
//! A trace consists of JSON lines: events in order of `at_ms`, and `expect` lines that state the actions
//! since the last event. Returns the differences, each with its line number.
std::vector<std::string> replay_trace(const std::string& path);
} // namespace buckthornhill::node::testing
