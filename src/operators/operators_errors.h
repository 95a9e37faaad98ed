#pragma once

#include "global/error.h"

namespace buckthornhill::operators {
//! Exit codes of the tool; documented in its help.
enum class exit_status {
    success = 0,
    failure = 1,       //!< a server does not answer, or answered with an error
    usage = 2,         //!< wrong command or setting
    conflict = 3,      //!< another operator's edit came first
    refused = 4,       //!< a check found a fault, or calls to customers are due
    not_confirmed = 5, //!< the store did not say whether the edit took effect
    timed_out = 6      //!< the change is accepted; some instances do not report it yet
};

//! A command ended without doing what it was asked; the text says why and what mends it.
class operators_error : public error
{
public:
    operators_error(exit_status status, const std::string& text)
        : error(text)
        , code(status)
    {
    }
    exit_status status() const { return this->code; }

private:
    exit_status code;
};
} // namespace buckthornhill::operators
