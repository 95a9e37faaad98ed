#pragma once

#include "global/error.h"

namespace buckthornhill::gateway {
//! A peer's message cannot be decoded, or the gateway cannot start.
class gateway_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::gateway
