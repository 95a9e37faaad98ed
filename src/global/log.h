#pragma once

#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

//! Structured logs: short messages with a fixed prefix for each part, rate-limited for each part.
namespace buckthornhill::log {
enum class severity { debug, info, warning, error };

struct log_configuration
{
    severity threshold = severity::info;
    bool json_lines = false;
    //! Lines go through a bounded queue to standard output, so that a reader that stops reading does not
    //! block the process.
    bool is_queued = false;
};

void initialize(const log_configuration& configuration);
//! Waits until every line written so far has been written; called when the process ends.
void flush();
void write(severity level, std::string_view part, std::string_view message);

//! Logs a decision or a state change as a JSON line, with the facts that led to it. Rate-limited for each
//! part; the next line that is written gives the number of dropped lines.
void event(std::string_view part, std::string_view name, boost::json::object fields);

inline void debug(std::string_view part, std::string_view message)
{
    write(severity::debug, part, message);
}
inline void info(std::string_view part, std::string_view message)
{
    write(severity::info, part, message);
}
inline void warning(std::string_view part, std::string_view message)
{
    write(severity::warning, part, message);
}
inline void error(std::string_view part, std::string_view message)
{
    write(severity::error, part, message);
}
} // namespace buckthornhill::log
