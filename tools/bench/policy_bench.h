#pragma once

namespace buckthornhill::bench {
//! Compares owners with three baseline policies on the same arrivals: sheds by upstreams at capacity,
//! requests refused after retries, and latency.
void run_policy_bench();
} // namespace buckthornhill::bench
