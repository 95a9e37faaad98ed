#pragma once

namespace buckthornhill::bench {
//! Measures the latency of look-ups before, during and after the loss of all instances of one region under
//! load.
void run_region_bench();
} // namespace buckthornhill::bench
