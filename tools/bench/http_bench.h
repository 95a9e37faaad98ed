#pragma once

namespace buckthornhill::bench {
//! Measures one daemon with upstreams as separate processes: added latency, requests and look-ups per second,
//! and memory.
void run_http_bench();
} // namespace buckthornhill::bench
