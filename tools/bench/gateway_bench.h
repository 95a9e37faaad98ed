#pragma once

namespace buckthornhill::bench {
//! Processor time and memory of gateways of one failure domain that learn of 1,080 upstreams from a stand-in
//! of the platform's store, and then idle.
void run_gateway_bench();
} // namespace buckthornhill::bench
