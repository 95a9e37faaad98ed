#pragma once

#include "global/error.h"

namespace buckthornhill::daemon {
//! Settings are wrong; the text lists every fault.
class settings_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::daemon
