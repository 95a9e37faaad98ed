#include "gateway/limit_message_codec.h"

#include <boost/json.hpp>

#include "gateway/gateway_errors.h"

namespace buckthornhill::gateway {
namespace json = boost::json;
using rate_limits::ask_message;
using rate_limits::ask_number;
using rate_limits::token_ask;
using rate_limits::token_grant;

namespace {
//! Far above what any instance sends.
constexpr std::size_t max_items = 4096;
constexpr std::int64_t max_tokens = 1'000'000;
constexpr std::int64_t max_time_ms = 60'000;

std::int64_t decode_number(const json::value& value, std::int64_t most)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > most) {
        throw gateway_error("a number of " + std::to_string(number));
    }
    return number;
}

const json::array& bounded(const json::value& value)
{
    const auto& array = value.as_array();
    if (array.size() > max_items) {
        throw gateway_error("a list of " + std::to_string(array.size()) + " entries");
    }
    return array;
}

const json::array& fields_of(const json::value& value, std::size_t count)
{
    const auto& fields = value.as_array();
    if (fields.size() != count) {
        throw gateway_error("an entry has " + std::to_string(fields.size()) + " fields");
    }
    return fields;
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

token_ask decode_ask(const json::value& value)
{
    const auto& fields = fields_of(value, 4);
    token_ask ask;
    ask.account = account_id(std::string(fields[0].as_string()));
    ask.needed = decode_number(fields[1], max_tokens);
    ask.expected = decode_number(fields[2], max_tokens);
    for (const auto& each : bounded(fields[3])) {
        const auto& returned = fields_of(each, 2);
        ask.returned.push_back(
            {ask_number(returned[0].to_number<std::uint64_t>()), decode_number(returned[1], max_tokens)});
    }
    return ask;
}
} // namespace

std::string encode_ask_message(const ask_message& message)
{
    json::array asks;
    for (const auto& ask : message.asks) {
        json::array returned;
        for (const auto& each : ask.returned) {
            returned.push_back(json::array{each.loan.value(), each.tokens});
        }
        asks.push_back(json::array{ask.account.str(), ask.needed, ask.expected, std::move(returned)});
    }
    return json::serialize(json::object{{"from", message.from.instance.str()},
                                        {"run", message.from.incarnation.value()},
                                        {"number", message.number.value()},
                                        {"asks", std::move(asks)}});
}

ask_message decode_ask_message(const std::string& text)
{
    return decode_or_throw("a message that asks for tokens", [&text] {
        const auto root = json::parse(text).as_object();
        ask_message message;
        message.from.instance = instance_id(std::string(root.at("from").as_string()));
        message.from.incarnation = incarnation_id(root.at("run").to_number<std::uint64_t>());
        message.number = ask_number(root.at("number").to_number<std::uint64_t>());
        for (const auto& each : bounded(root.at("asks"))) {
            message.asks.push_back(decode_ask(each));
        }
        return message;
    });
}

std::string encode_grants(const std::vector<token_grant>& grants)
{
    json::array list;
    for (const auto& grant : grants) {
        list.push_back(json::array{grant.account.str(), grant.tokens, grant.lifetime.count(),
                                   grant.retry_after.count()});
    }
    return json::serialize(json::object{{"grants", std::move(list)}});
}

std::vector<token_grant> decode_grants(const std::string& text)
{
    return decode_or_throw("an answer with tokens", [&text] {
        const auto root = json::parse(text).as_object();
        std::vector<token_grant> grants;
        for (const auto& each : bounded(root.at("grants"))) {
            const auto& fields = fields_of(each, 4);
            token_grant grant;
            grant.account = account_id(std::string(fields[0].as_string()));
            grant.tokens = decode_number(fields[1], max_tokens);
            grant.lifetime = std::chrono::milliseconds(decode_number(fields[2], max_time_ms));
            grant.retry_after = std::chrono::milliseconds(decode_number(fields[3], max_time_ms));
            grants.push_back(std::move(grant));
        }
        return grants;
    });
}
} // namespace buckthornhill::gateway
