#pragma once

#include "global/error.h"

namespace buckthornhill::store {
//! An answer of the store, or a name of something in it, cannot be understood.
class store_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::store
