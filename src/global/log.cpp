#include "global/log.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace buckthornhill::log {
namespace {
constexpr std::size_t max_lines_per_part_and_second = 50;

struct rate_window
{
    std::chrono::steady_clock::time_point start;
    std::size_t lines = 0;
};

std::mutex guard;
log_configuration active_configuration;
std::map<std::string, rate_window, std::less<>> windows;

std::string_view name_of(severity level)
{
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

//! Caller holds the guard.
bool is_within_rate(std::string_view part)
{
    const auto now = std::chrono::steady_clock::now();
    auto& window = windows[std::string(part)];
    if (now - window.start >= std::chrono::seconds(1)) {
        window = {now, 0};
    }
    ++window.lines;
    return window.lines <= max_lines_per_part_and_second;
}

std::string format_line(severity level, std::string_view part, std::string_view sentence)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto stamp = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    if (active_configuration.json_lines) {
        return boost::json::serialize(boost::json::value{
            {"time_ms", stamp}, {"severity", name_of(level)}, {"part", part}, {"message", sentence}});
    }
    return std::to_string(stamp) + " " + std::string(name_of(level)) + " [" + std::string(part) + "] " +
           std::string(sentence);
}
} // namespace

void initialize(const log_configuration& configuration)
{
    const std::lock_guard lock(guard);
    active_configuration = configuration;
    boost::log::core::get()->remove_all_sinks();
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = boost::log::expressions::stream
                                                               << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void write(severity level, std::string_view part, std::string_view sentence)
{
    const std::lock_guard lock(guard);
    if (level < active_configuration.threshold || !is_within_rate(part)) {
        return;
    }
    boost::log::sources::logger logger;
    BOOST_LOG(logger) << format_line(level, part, sentence);
}
} // namespace buckthornhill::log
