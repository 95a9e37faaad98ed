#include "global/log.h"

#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>

#include <boost/core/null_deleter.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

namespace buckthornhill::log {
namespace {
constexpr std::size_t max_lines_per_part_per_second = 50;
//! Enough for every request of an instance at its usual load; further lines are dropped and counted.
constexpr std::size_t max_events_per_part_per_second = 400;
constexpr std::size_t max_queued_lines = 4096;

struct rate_window
{
    std::chrono::steady_clock::time_point start;
    std::size_t lines = 0;
    std::size_t dropped_lines = 0;
};

std::mutex state_mutex;
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

//! The caller holds `state_mutex`.
rate_window& count_line(std::string_view part)
{
    const auto now = std::chrono::steady_clock::now();
    auto found = windows.find(part);
    if (found == windows.end()) {
        found = windows.emplace(std::string(part), rate_window{}).first;
    }
    auto& window = found->second;
    if (now - window.start >= std::chrono::seconds(1)) {
        window.start = now;
        window.lines = 0;
    }
    ++window.lines;
    return window;
}

//! The caller holds `state_mutex`.
bool is_within_rate(std::string_view part)
{
    return count_line(part).lines <= max_lines_per_part_per_second;
}

void add_queued_output()
{
    namespace sinks = boost::log::sinks;
    using queue = sinks::bounded_fifo_queue<max_queued_lines, sinks::drop_on_overflow>;
    using sink = sinks::asynchronous_sink<sinks::text_ostream_backend, queue>;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    auto output = boost::make_shared<sink>(backend);
    output->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(output);
}

std::int64_t wall_clock_ms()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
}

std::string format_line(severity level, std::string_view part, std::string_view message)
{
    const auto time_ms = wall_clock_ms();
    if (active_configuration.json_lines) {
        return boost::json::serialize(boost::json::value{
            {"time_ms", time_ms}, {"severity", name_of(level)}, {"part", part}, {"message", message}});
    }
    return std::to_string(time_ms) + " " + std::string(name_of(level)) + " [" + std::string(part) + "] " +
           std::string(message);
}
} // namespace

void initialize(const log_configuration& configuration)
{
    const std::lock_guard lock(state_mutex);
    active_configuration = configuration;
    boost::log::core::get()->remove_all_sinks();
    if (configuration.is_queued) {
        add_queued_output();
        return;
    }
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = boost::log::expressions::stream
                                                               << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void flush()
{
    boost::log::core::get()->flush();
}

void write(severity level, std::string_view part, std::string_view message)
{
    const std::lock_guard lock(state_mutex);
    if (level < active_configuration.threshold || !is_within_rate(part)) {
        return;
    }
    boost::log::sources::logger logger;
    BOOST_LOG(logger) << format_line(level, part, message);
}

void event(std::string_view part, std::string_view name, boost::json::object fields)
{
    const std::lock_guard lock(state_mutex);
    auto& window = count_line(part);
    if (window.lines > max_events_per_part_per_second) {
        ++window.dropped_lines;
        return;
    }
    boost::json::object line{{"time_ms", wall_clock_ms()}, {"part", part}, {"event", name}};
    for (auto& field : fields) {
        line[field.key()] = std::move(field.value());
    }
    if (window.dropped_lines > 0) {
        line["lines_left_out"] = std::exchange(window.dropped_lines, 0);
    }
    boost::log::sources::logger logger;
    BOOST_LOG(logger) << boost::json::serialize(line);
}
} // namespace buckthornhill::log
