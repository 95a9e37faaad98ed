#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace buckthornhill::review {
using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

//! Writes what a case sees to `record.txt`, one line for each event, with the time since the start.
class record
{
public:
    explicit record(const std::string& path);

    void write(const std::string& text);
    //! Writes the line to standard output as well.
    void report(const std::string& text);
    time_point started_at() const { return this->start; }
    std::string time_text(time_point when) const;

private:
    std::mutex guard;
    std::ofstream file;
    time_point start;
};
} // namespace buckthornhill::review
