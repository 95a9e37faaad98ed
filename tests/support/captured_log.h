#pragma once

#include <iostream>
#include <sstream>
#include <string>

#include "global/log.h"

namespace buckthornhill::testing {
//! What the program logs while this object lives.
class captured_log
{
public:
    captured_log()
        : previous(std::clog.rdbuf(this->lines.rdbuf()))
    {
        log::initialize({});
    }
    ~captured_log() { std::clog.rdbuf(this->previous); }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    std::string text() const { return this->lines.str(); }
    std::size_t count(const std::string& part) const
    {
        const auto all = this->text();
        std::size_t found = 0;
        for (auto at = all.find(part); at != std::string::npos; at = all.find(part, at + part.size())) {
            ++found;
        }
        return found;
    }

private:
    std::ostringstream lines;
    std::streambuf* previous;
};
} // namespace buckthornhill::testing
