#pragma once

#include <string>

#include "global/ids.h"
#include "global/units.h"

//! Which entry instance owns an upstream. Only the owner connects to the upstream, probes it and counts its
//! slots.
namespace buckthornhill::ownership {
//! An upstream as the platform's list of instances describes it.
struct upstream_description
{
    upstream_id id;
    service_id service;
    region_id region;
    domain_id domain;
    std::string address; //!< `address:port`
    slot_count slots;
    bool is_leaving = false;
};
} // namespace buckthornhill::ownership
