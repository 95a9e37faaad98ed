#pragma once

namespace buckthornhill::bench {
//! Owners against three baselines on the same arrivals: sheds at full upstreams, latency, retries.
void run_policy_bench();
} // namespace buckthornhill::bench
