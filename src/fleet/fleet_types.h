#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "global/ids.h"
#include "global/place.h"
#include "global/units.h"

//! Which upstreams exist and which of them may receive requests.
namespace buckthornhill::fleet {
//! Registration of an upstream.
struct upstream_entry
{
    upstream_id id;
    std::uint64_t started_at_ms = 0; //!< distinguishes runs under the same id
    service_id service;
    std::string address; //!< `address:port`
    place where;
    slot_count slots;
    bool is_leaving = false;
    std::chrono::milliseconds cold_left{0}; //!< remaining time in which it can handle only few requests

    upstream_run run() const
    {
        return upstream_run(this->id.str() + "@" + std::to_string(this->started_at_ms));
    }
};
} // namespace buckthornhill::fleet
