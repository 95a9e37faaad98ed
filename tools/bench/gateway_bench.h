#pragma once

namespace buckthornhill::bench {
//! Measures the processor time and memory of the gateways of one failure domain, first while they learn of
//! 1,080 upstreams from a stand-in for the platform's store, and then while idle.
void run_gateway_bench();
} // namespace buckthornhill::bench
