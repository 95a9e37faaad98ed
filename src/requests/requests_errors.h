#pragma once

#include "global/error.h"

namespace buckthornhill::requests {
//! A ticket or an outcome could not be parsed.
class requests_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::requests
