#pragma once

namespace buckthornhill::bench {
//! Decision events a second of one node, without I/O.
void run_decision_bench();
//! Bytes, time and memory of membership, ownership and lists at several sizes.
void run_size_bench();
} // namespace buckthornhill::bench
