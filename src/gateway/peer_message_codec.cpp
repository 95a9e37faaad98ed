#include "gateway/peer_message_codec.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "gateway/crash_message_codec.h"
#include "gateway/gateway_errors.h"
#include "http/http_types.h"
#include "store/store_errors.h"

namespace buckthornhill::gateway {
namespace json = boost::json;

namespace {
//! Array indices of a member record's fields.
enum member_field : std::size_t {
    id,
    incarnation,
    state,
    sequence,
    region,
    domain,
    peer,
    caller,
    field_count
};
constexpr std::size_t brief_field_count = region;
constexpr std::chrono::hours max_confirmation_age{24}; //!< larger ones can only be errors
constexpr std::chrono::minutes max_lapse_time{1};      //!< the same

json::array encode_member(const membership::member_record& record)
{
    const auto& member = record.description;
    if (record.is_brief) {
        return {member.id.str(), member.incarnation.value(), static_cast<int>(record.state), record.sequence};
    }
    return {member.id.str(),     member.incarnation.value(), static_cast<int>(record.state),
            record.sequence,     member.region.str(),        member.domain.str(),
            member.peer_address, member.caller_address};
}

std::string text_at(const json::array& fields, std::size_t index)
{
    return std::string(fields.at(index).as_string());
}

//! Rejects invalid addresses when they are decoded; later they would fail every heartbeat round and look-up.
std::string checked_address(const json::value& value)
{
    return http::parse_endpoint(std::string(value.as_string())).str();
}

membership::member_record decode_member(const json::value& value)
{
    const auto& fields = value.as_array();
    if (fields.size() != field_count && fields.size() != brief_field_count) {
        throw gateway_error("a member record has " + std::to_string(fields.size()) + " fields");
    }
    membership::member_record record;
    record.description.id = instance_id(text_at(fields, id));
    record.description.incarnation = incarnation_id(fields[incarnation].to_number<std::uint64_t>());
    const auto number = fields[state].to_number<int>();
    if (number < 0 || number > static_cast<int>(membership::member_state::gone)) {
        throw gateway_error("a member record has the state " + std::to_string(number));
    }
    record.state = static_cast<membership::member_state>(number);
    record.sequence = fields[sequence].to_number<std::uint64_t>();
    if (fields.size() == brief_field_count) {
        record.is_brief = true;
        return record;
    }
    record.description.region = region_id(text_at(fields, region));
    record.description.domain = domain_id(text_at(fields, domain));
    record.description.peer_address = checked_address(fields.at(peer));
    record.description.caller_address = checked_address(fields.at(caller));
    return record;
}

//! Stores without eras, and builds that know none, have no such key.
void write_era(json::object& root, store::store_era era)
{
    if (era != store::store_era()) {
        root["era"] = era.value();
    }
}

std::uint64_t number_or_zero(const json::object& root, std::string_view key)
{
    const auto* value = root.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

store::store_era read_era(const json::object& root)
{
    return store::store_era(number_or_zero(root, "era"));
}

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc{} || end != text.data() + text.size()) {
        throw gateway_error("'" + std::string(text) + "' is not a version");
    }
    return number;
}

//! The time that is left, since the clocks of instances differ.
std::int64_t milliseconds_left(time_point now, time_point deadline)
{
    return std::max<std::int64_t>(0, to_milliseconds(deadline - now));
}

std::optional<time_point> deadline_in(time_point now, const json::value* milliseconds)
{
    if (milliseconds == nullptr) {
        return std::nullopt;
    }
    const std::chrono::milliseconds left(milliseconds->to_number<std::int64_t>());
    if (left < std::chrono::milliseconds(0) || left > max_lapse_time) {
        throw gateway_error("a lapse of " + std::to_string(left.count()) + " ms is out of range");
    }
    return now + left;
}

//! Each object is the array [name, version, text]; the text is missing when the object was removed.
json::object update_to_json(time_point now, const store::collection_update& update)
{
    json::array objects;
    json::object lapses;
    for (const auto& change : update.changes) {
        json::array fields{change.object.name, change.object.version.value()};
        if (!change.is_removed) {
            fields.emplace_back(change.object.text);
        } else if (change.lapse_deadline) {
            lapses[change.object.name] = milliseconds_left(now, *change.lapse_deadline);
        }
        objects.push_back(std::move(fields));
    }
    //! NOTE Builds that know no deadlines read only whether there are any.
    const bool may_have_lapsed = update.lapse_deadline || !lapses.empty();
    json::object root{{"collection", store::to_string(update.which)},
                      {"at", update.version.value()},
                      {"whole", update.is_snapshot},
                      {"after_outage", may_have_lapsed},
                      {"objects", std::move(objects)}};
    if (update.lapse_deadline) {
        root["lapse_ms"] = milliseconds_left(now, *update.lapse_deadline);
    }
    if (!lapses.empty()) {
        root["lapses_ms"] = std::move(lapses);
    }
    write_era(root, update.era);
    return root;
}

store::collection_update update_from_json(time_point now, const json::object& root)
{
    constexpr std::size_t removal_field_count = 2;
    store::collection_update update;
    update.which = store::parse_collection(std::string(root.at("collection").as_string()));
    update.is_snapshot = root.at("whole").as_bool();
    update.lapse_deadline = deadline_in(now, root.if_contains("lapse_ms"));
    const auto* lapses = root.if_contains("lapses_ms");
    update.version = object_version(root.at("at").to_number<std::uint64_t>());
    update.era = read_era(root);
    for (const auto& value : root.at("objects").as_array()) {
        const auto& fields = value.as_array();
        store::object_change change;
        change.is_removed = fields.size() == removal_field_count;
        change.object.name = text_at(fields, 0);
        change.object.version = object_version(fields.at(1).to_number<std::uint64_t>());
        change.object.text = change.is_removed ? std::string() : text_at(fields, 2);
        if (change.is_removed && lapses != nullptr) {
            change.lapse_deadline = deadline_in(now, lapses->as_object().if_contains(change.object.name));
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

std::string encode_peer_heartbeat(const peer_heartbeat& heartbeat)
{
    json::array members;
    for (const auto& record : heartbeat.members) {
        members.push_back(encode_member(record));
    }
    json::object versions;
    json::object eras;
    for (const auto& [which, version] : heartbeat.changed_at) {
        versions[store::to_string(which)] = version.revision.value();
        if (version.era != store::store_era()) {
            eras[store::to_string(which)] = version.era.value();
        }
    }
    json::object root{{"members", std::move(members)}, {"changed_at", std::move(versions)}};
    if (!eras.empty()) {
        root["changed_in"] = std::move(eras);
    }
    write_era(root, heartbeat.era);
    if (heartbeat.newest_configuration != routing::configuration_version()) {
        root["configuration"] = heartbeat.newest_configuration.value();
        root["awaits_configuration"] = heartbeat.awaits_configuration;
    }
    if (heartbeat.witness != witness_quality::none) {
        root["witness"] = to_string(heartbeat.witness);
        root["confirmed"] = heartbeat.is_confirmed;
    }
    if (!heartbeat.quarantined.empty()) {
        root["quarantined"] = encode_suspect_reports(heartbeat.quarantined);
    }
    return json::serialize(root);
}

peer_heartbeat decode_peer_heartbeat(const std::string& text)
{
    return decode_or_throw("peer news", [&text] {
        const auto root = json::parse(text).as_object();
        peer_heartbeat heartbeat;
        for (const auto& member : root.at("members").as_array()) {
            heartbeat.members.push_back(decode_member(member));
        }
        for (const auto& [name, version] : root.at("changed_at").as_object()) {
            heartbeat.changed_at[store::parse_collection(name)] = {
                {}, object_version(version.to_number<std::uint64_t>())};
        }
        if (const auto* eras = root.if_contains("changed_in")) {
            for (const auto& [name, era] : eras->as_object()) {
                heartbeat.changed_at[store::parse_collection(name)].era =
                    store::store_era(era.to_number<std::uint64_t>());
            }
        }
        heartbeat.era = read_era(root);
        heartbeat.newest_configuration =
            routing::configuration_version(number_or_zero(root, "configuration"));
        const auto* awaits = root.if_contains("awaits_configuration");
        heartbeat.awaits_configuration = awaits != nullptr && awaits->as_bool();
        if (const auto* witness = root.if_contains("witness")) {
            heartbeat.witness = parse_witness_quality(std::string(witness->as_string()));
            heartbeat.is_confirmed = root.at("confirmed").as_bool();
        }
        if (const auto* quarantined = root.if_contains("quarantined")) {
            heartbeat.quarantined = decode_suspect_reports(quarantined->as_array());
        }
        return heartbeat;
    });
}

std::string encode_collection(time_point now, const store::collection_update& update)
{
    return json::serialize(update_to_json(now, update));
}

store::collection_update decode_collection(time_point now, const std::string& text)
{
    return decode_or_throw("a peer's collection",
                           [&] { return update_from_json(now, json::parse(text).as_object()); });
}

//! The revision comes first, and the era follows only where there is one, as in `41` and `41.2`.
std::string encode_version(const store::collection_version& version)
{
    const auto revision = std::to_string(version.revision.value());
    return version.era == store::store_era() ? revision
                                             : revision + "." + std::to_string(version.era.value());
}

store::collection_version parse_version(const std::string& text)
{
    const auto point = text.find('.');
    const auto revision = object_version(parse_number(std::string_view(text).substr(0, point)));
    if (point == std::string::npos) {
        return {{}, revision};
    }
    return {store::store_era(parse_number(std::string_view(text).substr(point + 1))), revision};
}

std::string encode_relay_response(time_point now, const relay_response& response)
{
    json::array updates;
    for (const auto& update : response.updates) {
        updates.push_back(update_to_json(now, update));
    }
    json::object root{{"is_source", response.is_source}, {"updates", std::move(updates)}};
    write_era(root, response.era);
    return json::serialize(root);
}

relay_response decode_relay_response(time_point now, const std::string& text)
{
    return decode_or_throw("a relay's answer", [&] {
        const auto root = json::parse(text).as_object();
        relay_response response;
        response.is_source = root.at("is_source").as_bool();
        response.era = read_era(root);
        for (const auto& update : root.at("updates").as_array()) {
            response.updates.push_back(update_from_json(now, update.as_object()));
        }
        return response;
    });
}

std::string encode_confirmation(const peer_confirmation& confirmation)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(confirmation.age);
    return json::serialize(json::object{{"version", confirmation.version.value()}, {"age_ms", age.count()}});
}

peer_confirmation decode_confirmation(const std::string& text)
{
    return decode_or_throw("a peer's confirmation", [&text] {
        const auto root = json::parse(text).as_object();
        peer_confirmation confirmation;
        confirmation.version = routing::configuration_version(root.at("version").to_number<std::uint64_t>());
        const std::chrono::milliseconds age(root.at("age_ms").to_number<std::int64_t>());
        if (age < std::chrono::milliseconds(0) || age > max_confirmation_age) {
            throw gateway_error("the age " + std::to_string(age.count()) + " is out of range");
        }
        confirmation.age = age;
        return confirmation;
    });
}

std::string encode_confirmation_header(const peer_confirmation& confirmation)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(confirmation.age);
    return std::to_string(confirmation.version.value()) + " " + std::to_string(age.count());
}

std::optional<peer_confirmation> decode_confirmation_header(std::string_view text)
{
    const auto end = text.data() + text.size();
    std::uint64_t version = 0;
    std::int64_t age = 0;
    const auto [blank, version_status] = std::from_chars(text.data(), end, version);
    if (version_status != std::errc{} || blank == end || *blank != ' ') {
        return std::nullopt;
    }
    const auto [age_end, age_status] = std::from_chars(blank + 1, end, age);
    const auto limit = std::chrono::milliseconds(max_confirmation_age).count();
    if (age_status != std::errc{} || age_end != end || age > limit || age < -limit) {
        return std::nullopt;
    }
    return peer_confirmation{routing::configuration_version(version), std::chrono::milliseconds(age)};
}

std::string encode_registration(const membership::member_description& member)
{
    return json::serialize(json::object{{"incarnation", member.incarnation.value()},
                                        {"region", member.region.str()},
                                        {"domain", member.domain.str()},
                                        {"peers", member.peer_address},
                                        {"callers", member.caller_address},
                                        {"id", member.id.str()}});
}

membership::member_description decode_registration(const std::string& text)
{
    return decode_or_throw("a registration", [&text] {
        const auto root = json::parse(text).as_object();
        membership::member_description member;
        member.id = instance_id(std::string(root.at("id").as_string()));
        member.incarnation = incarnation_id(root.at("incarnation").to_number<std::uint64_t>());
        member.region = region_id(std::string(root.at("region").as_string()));
        member.domain = domain_id(std::string(root.at("domain").as_string()));
        member.peer_address = checked_address(root.at("peers"));
        member.caller_address = checked_address(root.at("callers"));
        return member;
    });
}

bool is_older_registration(const std::function<std::string(const std::string&)>& extract_body,
                           const store::stored_object& object, incarnation_id own)
{
    try {
        return decode_registration(extract_body(object.text)).incarnation < own;
    } catch (const buckthornhill::error&) {
        return true;
    }
}
} // namespace buckthornhill::gateway
