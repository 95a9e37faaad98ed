#pragma once

#include "global/ids.h"

namespace buckthornhill {
//! Where an instance or an upstream runs.
struct place
{
    region_id region;
    domain_id domain;
};

enum class proximity {
    same_domain,
    same_region, //!< another failure domain of the region
    other_region
};

inline proximity proximity_of(const place& from, const place& to)
{
    if (from.region != to.region) {
        return proximity::other_region;
    }
    return from.domain == to.domain ? proximity::same_domain : proximity::same_region;
}
} // namespace buckthornhill
