#pragma once

#include "global/error.h"

namespace buckthornhill::http {
//! A listener could not be opened or an endpoint could not be parsed.
class http_error : public error
{
public:
    using error::error;
};
} // namespace buckthornhill::http
