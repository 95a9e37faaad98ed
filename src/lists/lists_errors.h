#pragma once

#include "global/error.h"

namespace buckthornhill::lists {
//! A list does not follow its schema or contradicts another list; the message names the invalid field.
class lists_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::lists
