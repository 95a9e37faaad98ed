#pragma once

#include <stdexcept>

namespace buckthornhill {
//! Base of every error that a module throws. Each module derives its own and converts errors of lower layers
//! to it.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};
} // namespace buckthornhill
