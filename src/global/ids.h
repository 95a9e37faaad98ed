#pragma once

#include <cstdint>

#include "global/fingerprint.h"
#include "global/strong_id.h"
#include "global/strong_number.h"

//! Identifiers that several modules share.
namespace buckthornhill {
using instance_id = strong_id<struct instance_tag>; //!< an entry instance, from its settings
using upstream_id = strong_id<struct upstream_tag>;
//! One run of an upstream, from its start to its end.
using upstream_run = strong_id<struct upstream_run_tag>;
using service_id = strong_id<struct service_tag>;
using region_id = strong_id<struct region_tag>;
using domain_id = strong_id<struct domain_tag>; //!< a failure domain
using customer_id = strong_id<struct customer_tag>;
using account_id = strong_id<struct account_tag>; //!< a client account with API keys
using plan_id = strong_id<struct plan_tag>;

//! One run of an entry instance's process. A later run of the same instance has a higher number.
using incarnation_id = strong_number<struct incarnation_tag, std::uint64_t>;
//! Position of a non-idempotent request among those that one incarnation issued.
using ticket_number = strong_number<struct ticket_tag, std::uint64_t>;
//! One request inside one daemon.
using flow_id = strong_number<struct flow_tag, std::uint64_t>;
//! Version that the platform's object API gave to an object.
using object_version = strong_number<struct object_version_tag, std::uint64_t>;
} // namespace buckthornhill
