#pragma once

#include "global/units.h"

namespace buckthornhill {
//! A source of random numbers for one thread, seeded by the system.
random_hook make_random();
} // namespace buckthornhill
