#pragma once

namespace buckthornhill::bench {
//! Measures the heartbeat bytes, processor time and memory of the idle Bureau deployment, and the time until
//! an accepted change is in force everywhere.
void run_control_bench();
} // namespace buckthornhill::bench
