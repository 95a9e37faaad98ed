#include "gateway/plan_message_codec.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>

#include <boost/json.hpp>

#include "gateway/gateway_errors.h"

namespace buckthornhill::gateway {
namespace json = boost::json;
using placement::object_demand;
using placement::object_key;
using placement::plan_change;
using placement::plan_reply;
using placement::plan_report;
using placement::plan_stamp;
using placement::plan_update;

namespace {
//! More than any instance sends: some thousand objects, as many that were removed, and their upstreams.
constexpr std::size_t max_items = 16384;
//! Far above what is reached by counting, so that it can be increased.
constexpr std::uint64_t max_count = 1ULL << 53U;
//! An hour of work for one object. Only an instance that was without a planner for long counts more.
constexpr std::uint64_t max_work_us = 3600ULL * 1000 * 1000;
constexpr std::int64_t no_upstream = -1; //!< index of an object that is no longer planned

//! The texts of a message, each written once; the message refers to them by their index.
class text_table
{
public:
    std::size_t index_of(const std::string& text)
    {
        const auto [position, is_new] = this->indices.try_emplace(text, this->texts.size());
        if (is_new) {
            this->texts.emplace_back(text);
        }
        return position->second;
    }
    json::array take() { return std::move(this->texts); }

private:
    std::unordered_map<std::string, std::size_t> indices;
    json::array texts;
};

const json::array& bounded(const json::value& value)
{
    const auto& array = value.as_array();
    if (array.size() > max_items) {
        throw gateway_error("a list of " + std::to_string(array.size()) + " entries");
    }
    return array;
}

std::uint64_t decode_count(const json::value& value, std::uint64_t max)
{
    const auto number = value.to_number<std::uint64_t>();
    if (number > max) {
        throw gateway_error("a number of " + std::to_string(number));
    }
    return number;
}

std::string decode_text(const json::value& value)
{
    if (value.as_string().empty()) {
        throw gateway_error("an empty name");
    }
    return std::string(value.as_string());
}

placement::object_hash decode_hash(const json::value& value)
{
    const std::string_view text = value.as_string();
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed_to, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || parsed_to != end) {
        throw gateway_error("a text is no hash");
    }
    return placement::object_hash(number);
}

const json::value& entry_at(const json::array& table, const json::value& index)
{
    return table.at(index.to_number<std::size_t>());
}

object_key decode_key(const json::array& services, const json::value& service, const json::value& hash)
{
    return {service_id(decode_text(entry_at(services, service))), decode_hash(hash)};
}

json::array encode_stamp(const plan_stamp& stamp)
{
    return {stamp.epoch, stamp.planner.str(), stamp.version};
}

plan_stamp decode_stamp(const json::value& value)
{
    const auto& fields = value.as_array();
    return {decode_count(fields.at(0), max_count), instance_id(std::string(fields.at(1).as_string())),
            decode_count(fields.at(2), max_count)};
}

json::object encode_update(const plan_update& update)
{
    text_table services;
    text_table upstreams;
    json::array changes;
    for (const auto& [key, upstream] : update.changes) {
        const auto index =
            upstream.empty() ? no_upstream : static_cast<std::int64_t>(upstreams.index_of(upstream.str()));
        changes.push_back(
            json::array{services.index_of(key.service.str()), std::to_string(key.object.value()), index});
    }
    return {{"stamp", encode_stamp(update.stamp)},
            {"whole", update.is_whole},
            {"services", services.take()},
            {"upstreams", upstreams.take()},
            {"changes", std::move(changes)}};
}

plan_update decode_update(const json::object& root)
{
    plan_update update;
    update.stamp = decode_stamp(root.at("stamp"));
    update.is_whole = root.at("whole").as_bool();
    const auto& services = bounded(root.at("services"));
    const auto& upstreams = bounded(root.at("upstreams"));
    for (const auto& value : bounded(root.at("changes"))) {
        const auto& fields = value.as_array();
        plan_change change;
        change.key = decode_key(services, fields.at(0), fields.at(1));
        if (fields.at(2).to_number<std::int64_t>() != no_upstream) {
            change.upstream = upstream_id(decode_text(entry_at(upstreams, fields.at(2))));
        }
        update.changes.push_back(std::move(change));
    }
    return update;
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

std::string encode_plan_report(const plan_report& report)
{
    text_table services;
    json::array demand;
    for (const auto& [key, requests, work] : report.demand) {
        const auto work_us = std::chrono::duration_cast<std::chrono::microseconds>(work).count();
        demand.push_back(json::array{services.index_of(key.service.str()), std::to_string(key.object.value()),
                                     requests, std::min(static_cast<std::uint64_t>(work_us), max_work_us)});
    }
    json::object root{{"region", report.region.str()},
                      {"known", encode_stamp(report.known)},
                      {"services", services.take()},
                      {"demand", std::move(demand)}};
    if (report.copy) {
        root["copy"] = encode_update(*report.copy);
    }
    return json::serialize(root);
}

plan_report decode_plan_report(const std::string& text)
{
    return decode_or_throw("a report to the planner", [&text] {
        const auto root = json::parse(text).as_object();
        plan_report report;
        report.region = region_id(decode_text(root.at("region")));
        report.known = decode_stamp(root.at("known"));
        const auto& services = bounded(root.at("services"));
        for (const auto& value : bounded(root.at("demand"))) {
            const auto& fields = value.as_array();
            report.demand.push_back({decode_key(services, fields.at(0), fields.at(1)),
                                     decode_count(fields.at(2), max_count),
                                     std::chrono::microseconds(decode_count(fields.at(3), max_work_us))});
        }
        if (const auto* copy = root.if_contains("copy")) {
            report.copy = decode_update(copy->as_object());
        }
        return report;
    });
}

std::string encode_plan_reply(const plan_reply& reply)
{
    json::object root{{"planning", reply.is_planning}, {"wants_copy", reply.wants_copy}};
    if (reply.update) {
        root["update"] = encode_update(*reply.update);
    }
    return json::serialize(root);
}

plan_reply decode_plan_reply(const std::string& text)
{
    return decode_or_throw("a reply of the planner", [&text] {
        const auto root = json::parse(text).as_object();
        plan_reply reply;
        reply.is_planning = root.at("planning").as_bool();
        reply.wants_copy = root.at("wants_copy").as_bool();
        if (const auto* update = root.if_contains("update")) {
            reply.update = decode_update(update->as_object());
        }
        return reply;
    });
}
} // namespace buckthornhill::gateway
