#pragma once

namespace buckthornhill::bench {
//! Measures the decision events per second of one node, without I/O.
void run_decision_bench();
//! Measures the bytes, time and memory of membership, ownership and lists at several sizes.
void run_size_bench();
} // namespace buckthornhill::bench
