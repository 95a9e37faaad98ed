#pragma once

namespace buckthornhill::bench {
//! Latency of look-ups by phase while all instances of one region are lost under load.
void run_region_bench();
} // namespace buckthornhill::bench
