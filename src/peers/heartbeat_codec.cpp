#include "peers/heartbeat_codec.h"

#include <boost/json.hpp>

#include "global/error.h"
#include "global/json_reader.h"
#include "lists/list_codec.h"
#include "peers/peers_errors.h"

namespace buckthornhill::peers {
namespace json = boost::json;

namespace {
constexpr int last_member_state = static_cast<int>(membership::member_state::gone);

json::object encode_member(const membership::member_record& record)
{
    const auto& description = record.description;
    return {{"id", description.id.str()},
            {"inc", description.incarnation.value()},
            {"region", description.region.str()},
            {"domain", description.domain.str()},
            {"peer", description.peer_address},
            {"caller", description.caller_address},
            {"state", static_cast<int>(record.state)},
            {"seq", record.sequence}};
}

membership::member_record decode_member(const json_reader& reader)
{
    membership::member_record record;
    record.description.id = instance_id(reader.text("id"));
    record.description.incarnation = incarnation_id(reader.unsigned_integer("inc"));
    record.description.region = region_id(reader.text("region"));
    record.description.domain = domain_id(reader.text("domain"));
    record.description.peer_address = reader.text("peer");
    record.description.caller_address = reader.text("caller");
    const auto state = reader.integer("state");
    if (state < 0 || state > last_member_state) {
        throw peers_error(reader.path() + ".state: out of range");
    }
    record.state = static_cast<membership::member_state>(state);
    record.sequence = reader.unsigned_integer("seq");
    return record;
}

json::object encode_report(const admission::service_report& report)
{
    return {{"service", report.service.str()},
            {"limit", report.limit},
            {"slots", report.slots},
            {"in_flight", report.in_flight},
            {"queued", report.queued},
            {"mean_us", report.mean_service_us},
            {"spare", report.spare}};
}

admission::service_report decode_report(const json_reader& reader)
{
    admission::service_report report;
    report.service = service_id(reader.text("service"));
    report.limit = reader.integer("limit");
    report.slots = reader.integer("slots");
    report.in_flight = reader.integer("in_flight");
    report.queued = reader.integer("queued");
    report.mean_service_us = reader.integer("mean_us");
    report.spare = reader.integer("spare");
    return report;
}

json::object encode_counts(const std::map<service_id, std::int64_t>& counts)
{
    json::object object;
    for (const auto& [service, count] : counts) {
        object[service.str()] = count;
    }
    return object;
}

std::map<service_id, std::int64_t> decode_counts(const json::value& message, std::string_view key)
{
    std::map<service_id, std::int64_t> counts;
    const auto* object = message.as_object().if_contains(key);
    if (object == nullptr || !object->is_object()) {
        return counts;
    }
    for (const auto& member : object->get_object()) {
        json::error_code failure;
        counts[service_id(std::string(member.key()))] = member.value().to_number<std::int64_t>(failure);
    }
    return counts;
}

json::object encode_versions(const lists::version_map& versions)
{
    json::object object;
    for (const auto& [name, version] : versions) {
        object[lists::to_string(name)] = version.value();
    }
    return object;
}

lists::version_map decode_versions(const json_reader& reader)
{
    lists::version_map versions;
    for (const auto name : lists::all_documents) {
        const auto key = lists::to_string(name);
        if (reader.has(key)) {
            versions[name] = object_version(reader.unsigned_integer(key));
        }
    }
    return versions;
}

json::array encode_usage(const std::vector<quota::usage_record>& usage)
{
    json::array array;
    for (const auto& record : usage) {
        array.push_back({{"customer", record.customer.str()},
                         {"service", record.service.str()},
                         {"in_flight", record.in_flight.value()}});
    }
    return array;
}

json::array encode_notes(const std::vector<quarantine::crash_note>& notes)
{
    json::array array;
    for (const auto& note : notes) {
        array.push_back({{"print", note.request_fingerprint.high_bits()},
                         {"print_low", note.request_fingerprint.low_bits()},
                         {"upstream", note.run.str()},
                         {"cleared", note.is_cleared}});
    }
    return array;
}

template <typename Item, typename Decode>
std::vector<Item> decode_all(const json_reader& reader, std::string_view key, const Decode& decode)
{
    std::vector<Item> items;
    const auto count = reader.array(key).size();
    items.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        items.push_back(decode(reader.element(key, i)));
    }
    return items;
}

quota::usage_record decode_usage(const json_reader& reader)
{
    return {customer_id(reader.text("customer")), service_id(reader.text("service")),
            slot_count(reader.integer("in_flight"))};
}

quarantine::crash_note decode_note(const json_reader& reader)
{
    //! NOTE Instances of an earlier version send only one half.
    const fingerprint print(reader.unsigned_integer("print"), reader.unsigned_integer_or("print_low", 0));
    return {print, upstream_run(reader.text("upstream")), {}, reader.flag_or("cleared", false)};
}

heartbeat read_heartbeat(std::string_view body)
{
    const auto value = parse_json(body, "heartbeat");
    const json_reader reader(value, "heartbeat");
    heartbeat message;
    message.members = decode_all<membership::member_record>(reader, "members", decode_member);
    if (message.members.empty()) {
        throw peers_error("heartbeat.members: must contain the sender");
    }
    message.versions = decode_versions(reader.child("versions"));
    message.reports = decode_all<admission::service_report>(reader, "reports", decode_report);
    message.credits = decode_counts(value, "credits");
    message.requested_credits = decode_counts(value, "wants");
    message.ejected = decode_counts(value, "ejected");
    message.usage = decode_all<quota::usage_record>(reader, "usage", decode_usage);
    message.crash_notes = decode_all<quarantine::crash_note>(reader, "crash_notes", decode_note);
    for (const auto& item : reader.array("handovers")) {
        message.handovers.emplace_back(item.to_number<std::uint64_t>());
    }
    for (std::size_t i = 0; i < reader.array("leaving").size(); ++i) {
        message.leaving.emplace_back(std::string(reader.array("leaving")[i].as_string()));
    }
    message.round = reader.unsigned_integer("round");
    message.acknowledged_round = reader.unsigned_integer("answers_round");
    message.wants_tickets = reader.flag_or("wants_tickets", false);
    if (reader.has("tickets")) {
        const auto tickets = reader.child("tickets");
        message.tickets = {incarnation_id(tickets.unsigned_integer("inc")),
                           ticket_number(tickets.unsigned_integer("first")),
                           tickets.unsigned_integer("count")};
    }
    return message;
}

requests::ticket_handover read_handover(std::string_view body)
{
    const auto value = parse_json(body, "handover");
    const json_reader reader(value, "handover");
    requests::ticket_handover handover;
    handover.incarnation = incarnation_id(reader.unsigned_integer("inc"));
    handover.low_water = ticket_number(reader.unsigned_integer("low"));
    handover.next_ticket = ticket_number(reader.unsigned_integer("next"));
    handover.ended =
        decode_all<std::pair<ticket_number, requests::outcome>>(reader, "ended", [](const json_reader& item) {
            return std::pair(ticket_number(item.unsigned_integer("n")),
                             requests::parse_outcome(item.text("o")));
        });
    for (const auto& item : reader.array("uncertain")) {
        handover.uncertain.emplace_back(item.to_number<std::uint64_t>());
    }
    return handover;
}

template <typename Read>
auto rethrow_as_peers_error(const Read& read)
{
    try {
        return read();
    } catch (const peers_error&) {
        throw;
    } catch (const buckthornhill::error& failure) {
        throw peers_error(failure.what());
    } catch (const boost::system::system_error& failure) {
        throw peers_error(std::string("message: ") + failure.what());
    }
}
} // namespace

std::string encode_heartbeat(const heartbeat& message)
{
    json::object object;
    auto& members = object["members"].emplace_array();
    for (const auto& record : message.members) {
        members.push_back(encode_member(record));
    }
    object["versions"] = encode_versions(message.versions);
    auto& reports = object["reports"].emplace_array();
    for (const auto& report : message.reports) {
        reports.push_back(encode_report(report));
    }
    object["credits"] = encode_counts(message.credits);
    object["wants"] = encode_counts(message.requested_credits);
    object["ejected"] = encode_counts(message.ejected);
    object["usage"] = encode_usage(message.usage);
    object["crash_notes"] = encode_notes(message.crash_notes);
    auto& handovers = object["handovers"].emplace_array();
    for (const auto incarnation : message.handovers) {
        handovers.push_back(incarnation.value());
    }
    auto& leaving = object["leaving"].emplace_array();
    for (const auto& upstream : message.leaving) {
        leaving.emplace_back(upstream.str());
    }
    object["round"] = message.round;
    object["answers_round"] = message.acknowledged_round;
    object["wants_tickets"] = message.wants_tickets;
    if (message.tickets.count > 0) {
        object["tickets"] = {{"inc", message.tickets.incarnation.value()},
                             {"first", message.tickets.first.value()},
                             {"count", message.tickets.count}};
    }
    return json::serialize(object);
}

heartbeat decode_heartbeat(std::string_view body)
{
    return rethrow_as_peers_error([&] { return read_heartbeat(body); });
}

std::string encode_service_report(const admission::service_report& report)
{
    return json::serialize(encode_report(report));
}

admission::service_report decode_service_report(std::string_view text)
{
    return rethrow_as_peers_error([&] {
        const auto value = parse_json(text, "report");
        return decode_report(json_reader(value, "report"));
    });
}

std::string encode_handover(const requests::ticket_handover& handover)
{
    json::array ended;
    for (const auto& [number, result] : handover.ended) {
        ended.push_back({{"n", number.value()}, {"o", requests::to_string(result)}});
    }
    json::array uncertain;
    for (const auto number : handover.uncertain) {
        uncertain.push_back(number.value());
    }
    return json::serialize(json::value{{"inc", handover.incarnation.value()},
                                       {"low", handover.low_water.value()},
                                       {"next", handover.next_ticket.value()},
                                       {"ended", std::move(ended)},
                                       {"uncertain", std::move(uncertain)}});
}

requests::ticket_handover decode_handover(std::string_view body)
{
    return rethrow_as_peers_error([&] { return read_handover(body); });
}
} // namespace buckthornhill::peers
