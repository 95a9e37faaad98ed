#pragma once

#include <cstddef>
#include <string>

#include <boost/json/object.hpp>

namespace buckthornhill::log {
//! Like events of one step, written as one line when the step ends: the facts of the first and their `count`.
//! Keeps the log small where what is logged comes from outside, in any number.
class grouped_event
{
public:
    grouped_event(std::string part, std::string name);
    ~grouped_event();
    grouped_event(const grouped_event&) = delete;
    grouped_event& operator=(const grouped_event&) = delete;

    void add(boost::json::object facts);

private:
    std::string part;
    std::string name;
    boost::json::object first;
    std::size_t count = 0;
};
} // namespace buckthornhill::log
