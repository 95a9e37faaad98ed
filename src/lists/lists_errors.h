#pragma once

#include "global/error.h"

namespace buckthornhill::lists {
//! A list does not follow its schema or contradicts another; the text names the place.
class lists_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::lists
