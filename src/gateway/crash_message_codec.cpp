#include "gateway/crash_message_codec.h"

#include <boost/json.hpp>

#include "gateway/gateway_errors.h"

namespace buckthornhill::gateway {
namespace json = boost::json;
using quarantine::crash_note;
using quarantine::suspect_report;

namespace {
//! Far above what any instance sends.
constexpr std::size_t max_items = 1024;
constexpr std::int64_t max_age_ms = 24LL * 3600 * 1000;

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

duration decode_time(const json::value& value)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > max_age_ms) {
        throw gateway_error("a time of " + std::to_string(number) + " ms");
    }
    return std::chrono::milliseconds(number);
}

fingerprint decode_fingerprint(const json::value& value)
{
    const auto print = fingerprint::parse(std::string_view(value.as_string()));
    if (!print) {
        throw gateway_error("a text is no fingerprint");
    }
    return *print;
}

upstream_run decode_run(const json::value& value)
{
    return upstream_run(std::string(value.as_string()));
}

const json::array& bounded(const json::value& value)
{
    const auto& array = value.as_array();
    if (array.size() > max_items) {
        throw gateway_error("a list of " + std::to_string(array.size()) + " entries");
    }
    return array;
}

json::array encode_fingerprints(const std::vector<fingerprint>& prints)
{
    json::array array;
    for (const auto& print : prints) {
        array.emplace_back(print.str());
    }
    return array;
}

std::vector<fingerprint> decode_fingerprints(const json::value& value)
{
    std::vector<fingerprint> prints;
    for (const auto& each : bounded(value)) {
        prints.push_back(decode_fingerprint(each));
    }
    return prints;
}

//! Runs `decode` and converts any exception, such as those of the JSON library, to `gateway_error`.
template <typename Decode>
auto decode_or_throw(const std::string& what, Decode decode)
{
    try {
        return decode();
    } catch (const std::exception& failure) {
        throw gateway_error(what + ": " + failure.what());
    }
}
} // namespace

json::array encode_suspect_reports(const std::vector<suspect_report>& reports)
{
    json::array array;
    for (const auto& report : reports) {
        json::array runs;
        for (const auto& run : report.runs) {
            runs.emplace_back(run.str());
        }
        array.push_back(json::array{report.request_fingerprint.str(), std::move(runs),
                                    milliseconds_of(report.first_crash_age),
                                    milliseconds_of(report.last_crash_age),
                                    milliseconds_of(report.quarantine_left), report.quarantines});
    }
    return array;
}

std::vector<suspect_report> decode_suspect_reports(const json::array& array)
{
    constexpr std::size_t field_count = 6;
    std::vector<suspect_report> reports;
    for (const auto& value : array) {
        const auto& fields = value.as_array();
        if (fields.size() != field_count) {
            throw gateway_error("a report has " + std::to_string(fields.size()) + " fields");
        }
        suspect_report report;
        report.request_fingerprint = decode_fingerprint(fields[0]);
        for (const auto& run : bounded(fields[1])) {
            report.runs.push_back(decode_run(run));
        }
        report.first_crash_age = decode_time(fields[2]);
        report.last_crash_age = decode_time(fields[3]);
        report.quarantine_left = decode_time(fields[4]);
        report.quarantines = fields[5].to_number<int>();
        reports.push_back(std::move(report));
    }
    return reports;
}

std::string encode_crash_message(const crash_message& message)
{
    json::array notes;
    for (const auto& note : message.notes) {
        notes.push_back(
            json::array{note.request_fingerprint.str(), note.run.str(), milliseconds_of(note.age)});
    }
    json::object root{{"notes", std::move(notes)},
                      {"reports", encode_suspect_reports(message.reports)},
                      {"cleared", encode_fingerprints(message.cleared)}};
    if (message.trial) {
        root["trial"] = message.trial->str();
    }
    if (message.ended_trial) {
        root["ended_trial"] = message.ended_trial->str();
    }
    return json::serialize(root);
}

crash_message decode_crash_message(const std::string& text)
{
    return decode_or_throw("a message about crashes", [&text] {
        const auto root = json::parse(text).as_object();
        crash_message message;
        for (const auto& value : bounded(root.at("notes"))) {
            const auto& fields = value.as_array();
            message.notes.push_back({decode_fingerprint(fields.at(0)), decode_run(fields.at(1)),
                                     decode_time(fields.at(2)), false});
        }
        message.reports = decode_suspect_reports(bounded(root.at("reports")));
        message.cleared = decode_fingerprints(root.at("cleared"));
        if (const auto* trial = root.if_contains("trial")) {
            message.trial = decode_fingerprint(*trial);
        }
        if (const auto* ended = root.if_contains("ended_trial")) {
            message.ended_trial = decode_fingerprint(*ended);
        }
        return message;
    });
}

std::string encode_crash_response(const crash_response& response)
{
    return json::serialize(json::object{{"reports", encode_suspect_reports(response.reports)},
                                        {"refuted", encode_fingerprints(response.refuted)},
                                        {"granted", response.is_trial_granted}});
}

crash_response decode_crash_response(const std::string& text)
{
    return decode_or_throw("a response about crashes", [&text] {
        const auto root = json::parse(text).as_object();
        crash_response response;
        response.reports = decode_suspect_reports(bounded(root.at("reports")));
        response.refuted = decode_fingerprints(root.at("refuted"));
        response.is_trial_granted = root.at("granted").as_bool();
        return response;
    });
}
} // namespace buckthornhill::gateway
