#pragma once

#include "global/error.h"

namespace buckthornhill::gateway {
//! A message of a peer cannot be read, or the gateway cannot start.
class gateway_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::gateway
