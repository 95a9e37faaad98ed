#pragma once

#include <stdexcept>

namespace buckthornhill {
//! Base of every error that a module throws. Each module derives its own and converts those from below.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};
} // namespace buckthornhill
