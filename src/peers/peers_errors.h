#pragma once

#include "global/error.h"

namespace buckthornhill::peers {
//! A message from another entry instance does not follow the protocol.
class peers_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::peers
