#include "record.h"

#include <array>
#include <cstdio>
#include <iostream>
#include <stdexcept>

namespace buckthornhill::review {
record::record(const std::string& path)
    : file(path)
    , start(std::chrono::steady_clock::now())
{
    if (!this->file) {
        throw std::runtime_error("cannot write " + path);
    }
}

std::string record::time_text(time_point when) const
{
    const std::chrono::duration<double> elapsed = when - this->start;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%8.3f s", elapsed.count());
    return text.data();
}

void record::write(const std::string& text)
{
    const auto when = this->time_text(std::chrono::steady_clock::now());
    const std::lock_guard lock(this->guard);
    this->file << when << "  " << text << "\n" << std::flush;
}

void record::report(const std::string& text)
{
    this->write(text);
    std::cout << text << std::endl;
}
} // namespace buckthornhill::review
