#pragma once

#include "global/error.h"

namespace buckthornhill::daemon {
//! One or more settings are invalid; the text lists every fault.
class settings_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::daemon
