#pragma once

#include <vector>

#include "global/fingerprint.h"
#include "global/ids.h"
#include "global/place.h"

namespace buckthornhill::quarantine {
struct candidate_registrar
{
    instance_id id;
    place where;
};

//! The instances that count the crashes of a request for all: one in each region, and one in `domain`, so
//! that some of them can be reached whatever is cut off. All instances choose the same ones. The first is the
//! one that permits single runs.
std::vector<instance_id> registrars_of(fingerprint request_fingerprint, const domain_id& domain,
                                       const std::vector<candidate_registrar>& candidates);
} // namespace buckthornhill::quarantine
