#include "operators/request_history.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

#include <boost/json.hpp>

#include "operators/text_table.h"

namespace buckthornhill::operators {
namespace json = boost::json;

namespace {
//! A state change within this time before or after a request may have caused its outcome. Longer than the
//! largest delay allowed until a change is in force.
constexpr std::int64_t context_window_ms = 5000;
constexpr std::string_view quarantine_part = "quarantine";
constexpr std::array<std::string_view, 8> dependency_events{
    "paused", "leaving", "started", "store_lost", "store_in_contact", "watches_store", "follows", "reload"};

//! Explains each outcome and reason of a response and says where to look next; the same as in
//! docs/OPERATIONS.md.
const std::map<std::string, std::string, std::less<>> outcome_explanations{
    {"answered", "The upstream's response was delivered. If it was late: more than one send means that an "
                 "earlier one failed or "
                 "was refused; one send means that the upstream was slow or did not know the object."},
    {"overloaded", "It did not run: no upstream could answer in the time left, or all were at capacity."},
    {"no-upstream",
     "It did not run: no upstream of its service was eligible. See the state changes of upstreams."},
    {"no-configuration", "It did not run: the instance had no configuration yet."},
    {"quarantined",
     "It did not run: upstreams ended while requests with the same content were in progress there, as the "
     "lines of the quarantine say, and none has completed since."},
    {"paused", "It did not run: the process was paused while the request waited."},
    {"leaving", "It did not run: the instance was shutting down."},
    {"deadline-passed", "It did not run: its deadline passed before it could be sent."},
    {"failed", "It may have run: the connection to the upstream closed before a response."},
    {"timed_out",
     "It may have run: the upstream did not respond within the route's timeout or the caller's deadline."},
    {"cancelled", "The caller disconnected before the response."},
    {"no_route", "No route matched in the configuration that the line names."},
};

std::string text_in(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}
} // namespace

void request_history::read_log(const std::string& source, std::istream& log)
{
    for (std::string text; std::getline(log, text);) {
        const auto start = text.find('{');
        boost::system::error_code failure;
        const auto value = start == std::string::npos
                               ? json::value()
                               : json::parse(std::string_view(text).substr(start), failure);
        if (failure || !value.is_object()) {
            continue;
        }
        const auto& object = value.as_object();
        log_line parsed_line;
        const auto* time = object.if_contains("time_ms");
        parsed_line.time_ms = time != nullptr && time->is_int64() ? time->as_int64() : 0;
        parsed_line.source = source;
        parsed_line.part = text_in(object, "part");
        parsed_line.event = text_in(object, "event");
        parsed_line.upstream = text_in(object, "upstream");
        parsed_line.fingerprint = text_in(object, "fingerprint");
        parsed_line.json = json::serialize(object);
        if (text_in(object, "request") == this->request) {
            this->request_lines.push_back(std::move(parsed_line));
        } else if (parsed_line.part == quarantine_part || parsed_line.event == "upstream_changed" ||
                   parsed_line.event == "upstreams_changed" ||
                   std::ranges::find(dependency_events, parsed_line.event) != dependency_events.end()) {
            this->context_lines.push_back(std::move(parsed_line));
        }
    }
}

bool request_history::is_relevant(const log_line& candidate) const
{
    return std::ranges::any_of(this->request_lines, [&](const log_line& request_line) {
        //! NOTE What makes a request a suspect may be long ago, and at any instance.
        if (candidate.part == quarantine_part) {
            return !request_line.fingerprint.empty() &&
                   candidate.json.find(request_line.fingerprint) != std::string::npos;
        }
        const bool is_near = std::abs(candidate.time_ms - request_line.time_ms) <= context_window_ms;
        const bool is_upstream = candidate.event == "upstream_changed";
        const bool lists_several_upstreams = candidate.event == "upstreams_changed";
        if (!is_near || candidate.source != request_line.source) {
            return false;
        }
        if (lists_several_upstreams) {
            return !request_line.upstream.empty() &&
                   candidate.json.find('"' + request_line.upstream + '"') != std::string::npos;
        }
        return !is_upstream ||
               (!request_line.upstream.empty() && candidate.upstream == request_line.upstream);
    });
}

void request_history::select_lines()
{
    this->selected_lines = this->request_lines;
    std::ranges::copy_if(this->context_lines, std::back_inserter(this->selected_lines),
                         [this](const log_line& candidate) { return this->is_relevant(candidate); });
    std::ranges::stable_sort(this->selected_lines, {}, &log_line::time_ms);
}

std::string request_history::conclusion() const
{
    for (const auto& request_line : this->request_lines) {
        if (request_line.event != "answer") {
            continue;
        }
        const auto object = json::parse(request_line.json).as_object();
        for (const auto* key : {"reason", "outcome"}) {
            const auto explanation = outcome_explanations.find(text_in(object, key));
            if (explanation != outcome_explanations.end()) {
                return explanation->second;
            }
        }
    }
    return "No process logged a response: the request was still in progress, its process ended, or the line "
           "was "
           "dropped under load.";
}

std::string request_history::text(bool is_json) const
{
    std::string all;
    if (is_json) {
        for (const auto& line : this->selected_lines) {
            all += line.json + "\n";
        }
        return all;
    }
    text_table table({"time ms", "log", "part", "event", "facts"});
    for (const auto& line : this->selected_lines) {
        table.add({std::to_string(line.time_ms), line.source, line.part, line.event, line.json});
    }
    return table.str() + "\n" + this->conclusion() + "\n";
}
} // namespace buckthornhill::operators
