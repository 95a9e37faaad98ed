#pragma once

namespace buckthornhill::bench {
//! One daemon with upstreams as separate processes: latency added, requests and look-ups a second, memory.
void run_http_bench();
} // namespace buckthornhill::bench
