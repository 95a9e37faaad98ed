#pragma once

#include "../../src/global/strong_id.h"

namespace buckthornhill::review {
using upstream_id = strong_id<struct upstream_tag>;
using service_id = strong_id<struct service_tag>;
using domain_id = strong_id<struct domain_tag>; //!< a failure domain
} // namespace buckthornhill::review
