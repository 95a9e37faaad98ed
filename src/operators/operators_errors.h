#pragma once

#include "global/error.h"

namespace buckthornhill::operators {
//! Exit codes of the tool; its help documents them.
enum class exit_status {
    success = 0,
    failure = 1,       //!< a server does not respond, or responded with an error
    usage = 2,         //!< invalid command or setting
    conflict = 3,      //!< another operator changed the list first
    refused = 4,       //!< a check found a fault, or customers must be called first
    not_confirmed = 5, //!< the store did not confirm whether the edit took effect
    timed_out = 6      //!< the store accepted the change, but some instances do not report it yet
};

//! A command failed; the text says why and what the operator can do.
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
