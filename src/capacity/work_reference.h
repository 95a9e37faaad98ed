#pragma once

#include <cstdint>
#include <optional>

#include "global/units.h"

namespace buckthornhill::capacity {
//! Usual time of work on the requests of one route of a service, over all its upstreams, for objects that are
//! warm or cold at the upstream. Its long memory keeps a rise of the load from being taken for a change of
//! what is usual.
class work_reference
{
public:
    //! Logarithm of the time relative to the usual one; empty until there are enough samples to know that.
    //! `expected_log_ratio` is what
    //! is known of the upstream, so that an upstream that is used more does not define what is usual.
    std::optional<double> observe(duration work, bool is_warm, double expected_log_ratio);

private:
    struct average
    {
        double log_seconds = 0;
        std::uint32_t samples = 0;
    };

    average warm;
    average cold;
};
} // namespace buckthornhill::capacity
