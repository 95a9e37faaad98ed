#pragma once

#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

//! Structured logs: short sentences, a fixed prefix for each part, rate-bounded for each part.
namespace buckthornhill::log {
enum class severity { debug, info, warning, error };

struct log_configuration
{
    severity threshold = severity::info;
    bool json_lines = false;
    //! Lines go through a bounded queue to standard output, so that a stuck reader delays nothing.
    bool is_queued = false;
};

void initialize(const log_configuration& configuration);
//! Waits until every line written so far is out; for the end of the process.
void flush();
void write(severity level, std::string_view part, std::string_view sentence);

//! One decision or change of belief as a JSON line: what happened, on which grounds. Bounded by rate for
//! each part; how many lines were left out is said with the next line that is written.
void event(std::string_view part, std::string_view name, boost::json::object facts);

inline void debug(std::string_view part, std::string_view sentence)
{
    write(severity::debug, part, sentence);
}
inline void info(std::string_view part, std::string_view sentence)
{
    write(severity::info, part, sentence);
}
inline void warning(std::string_view part, std::string_view sentence)
{
    write(severity::warning, part, sentence);
}
inline void error(std::string_view part, std::string_view sentence)
{
    write(severity::error, part, sentence);
}
} // namespace buckthornhill::log
