#pragma once

#include <functional>
#include <string_view>

//! Structured logs: short sentences, a fixed prefix for each part, rate-bounded for each part.
namespace buckthornhill::log {
enum class severity { debug, info, warning, error };

struct log_configuration
{
    severity threshold = severity::info;
    bool json_lines = false;
};

void initialize(const log_configuration& configuration);
void write(severity level, std::string_view part, std::string_view sentence);

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
