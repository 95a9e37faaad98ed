#pragma once

#include "global/error.h"

namespace buckthornhill::store {
//! A response of the store cannot be parsed, or the name of a collection is unknown.
class store_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::store
