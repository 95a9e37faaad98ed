#pragma once

namespace buckthornhill::bench {
//! An idle deployment of the Bureau: bytes, processor time and memory for control, and the time until an
//! accepted change is in force everywhere.
void run_control_bench();
} // namespace buckthornhill::bench
