#include "daemon/request_translation.h"

#include <charconv>

#include <boost/json.hpp>

#include "daemon/protocol_headers.h"
#include "global/hash.h"
#include "http/hop_headers.h"
#include "peers/heartbeat_codec.h"
#include "requests/requests_errors.h"

namespace buckthornhill::daemon {
namespace json = boost::json;

namespace {
constexpr unsigned status_service_unavailable = 503;
constexpr std::string_view reserved_header_prefix = "Bth-";

bool starts_with_ignoring_case(std::string_view text, std::string_view prefix)
{
    if (text.size() < prefix.size()) {
        return false;
    }
    for (std::size_t i = 0; i < prefix.size(); ++i) {
        if (std::tolower(static_cast<unsigned char>(text[i])) !=
            std::tolower(static_cast<unsigned char>(prefix[i]))) {
            return false;
        }
    }
    return true;
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && starts_with_ignoring_case(a, b);
}

//! Headers that only entry instances may set; they are not copied from a received message.
bool is_reserved_header(std::string_view name)
{
    return starts_with_ignoring_case(name, reserved_header_prefix) ||
           starts_with_ignoring_case(name, "Upstream-") || equals_ignoring_case(name, "Host") ||
           equals_ignoring_case(name, headers::request_id);
}

void copy_end_to_end(const http::header_list& from, http::header_list& to)
{
    http::header_list forwarded_headers;
    http::copy_end_to_end(from, forwarded_headers);
    std::erase_if(forwarded_headers, [](const auto& header) { return is_reserved_header(header.first); });
    to.insert(to.end(), forwarded_headers.begin(), forwarded_headers.end());
}

std::int64_t parse_number_or(std::string_view text, std::int64_t default_number)
{
    std::int64_t number = default_number;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    return status == std::errc{} ? number : default_number;
}

std::string remaining_ms(time_point now, time_point deadline)
{
    return std::to_string(std::max<std::int64_t>(0, to_milliseconds(deadline - now)));
}

std::string_view service_name_in(std::string_view target)
{
    const auto path = http::path_of(target).substr(1);
    return path.substr(0, path.find('/'));
}

void add_header(http::header_list& list, std::string_view name, std::string value)
{
    list.emplace_back(std::string(name), std::move(value));
}

std::string format_ticket_block(const requests::ticket_block& block)
{
    return requests::to_string(requests::ticket{block.incarnation, block.first}) + "+" +
           std::to_string(block.count);
}

requests::ticket_block parse_ticket_block(std::string_view text)
{
    const auto plus = text.find('+');
    if (plus == std::string_view::npos) {
        return {};
    }
    const auto first = requests::parse_ticket(text.substr(0, plus));
    return {first.incarnation, first.number,
            static_cast<std::uint64_t>(parse_number_or(text.substr(plus + 1), 0))};
}

node::attempt_status attempt_status_of(http::call_status status)
{
    switch (status) {
    case http::call_status::complete:
        return node::attempt_status::complete;
    case http::call_status::connect_failed:
        return node::attempt_status::connect_failed;
    case http::call_status::broken:
        return node::attempt_status::broken;
    case http::call_status::timed_out:
        return node::attempt_status::timed_out;
    case http::call_status::cancelled:
        return node::attempt_status::cancelled;
    }
    return node::attempt_status::broken;
}

requests::response_ptr make_response_record(http::http_response response)
{
    requests::response_ptr answer(new requests::response_record);
    answer->status = response.status;
    copy_end_to_end(response.headers, answer->headers);
    answer->body = std::move(response.body);
    return answer;
}

unsigned status_of_refusal(admission::refusal_reason reason)
{
    using admission::refusal_reason;
    switch (reason) {
    case refusal_reason::ticket_required:
        return 428;
    case refusal_reason::ticket_invalid:
        return 400;
    case refusal_reason::quarantined:
        return 422;
    case refusal_reason::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

json::object json_of(const requests::ticket_block& block)
{
    //! NOTE An incarnation is written as a string, because some languages read JSON numbers as doubles and
    //! would lose digits.
    return {{"incarnation", std::to_string(block.incarnation.value())},
            {"first", block.first.value()},
            {"count", block.count}};
}
} // namespace

node::request_facts facts_of(const http::http_request& request, flow_id flow, time_point now,
                             const translation_limits& limits)
{
    node::request_facts facts;
    facts.flow = flow;
    facts.service = service_id(std::string(service_name_in(request.target)));
    facts.customer = customer_id(std::string(http::find_header(request.headers, headers::customer)));
    facts.client_region = region_id(std::string(http::find_header(request.headers, headers::region)));
    facts.is_idempotent = request.method == "GET" || request.method == "HEAD";
    const auto requested_ms = parse_number_or(http::find_header(request.headers, headers::deadline_ms),
                                              limits.default_deadline.count());
    const auto granted_ms = std::min<std::int64_t>(requested_ms, limits.max_deadline.count());
    facts.deadline = now + std::chrono::milliseconds(granted_ms);
    facts.body_size = byte_count(request.body.size());
    facts.affinity = hash_text(request.target);
    facts.request_fingerprint =
        fingerprint_of({request.method, request.target, facts.customer.str(), request.body});
    const auto name = http::find_header(request.headers, headers::ticket);
    if (!name.empty()) {
        facts.ticket = requests::parse_ticket(name);
    }
    return facts;
}

node::forwarded_facts forwarded_facts_of(const http::http_request& request)
{
    node::forwarded_facts forwarded;
    forwarded.forwarder = instance_id(std::string(http::find_header(request.headers, headers::from)));
    forwarded.forwarder_region =
        region_id(std::string(http::find_header(request.headers, headers::from_region)));
    forwarded.priority =
        quota::parse_request_class(http::find_header(request.headers, headers::request_class));
    return forwarded;
}

http::http_request upstream_request_of(const http::http_request& request, time_point now, time_point deadline,
                                       const std::string& request_id)
{
    http::http_request outgoing;
    outgoing.method = request.method;
    outgoing.target = request.target;
    copy_end_to_end(request.headers, outgoing.headers);
    add_header(outgoing.headers, headers::upstream_deadline_ms, remaining_ms(now, deadline));
    add_header(outgoing.headers, headers::request_id, request_id);
    outgoing.body = request.body;
    return outgoing;
}

http::http_request peer_request_of(const http::http_request& request, const node::start_peer_action& action,
                                   const membership::member_description& self, const std::string& peer_key,
                                   time_point now, time_point deadline)
{
    http::http_request outgoing;
    outgoing.method = request.method;
    outgoing.target = request.target;
    copy_end_to_end(request.headers, outgoing.headers);
    for (const auto name : {headers::customer, headers::region, headers::ticket}) {
        const auto value = http::find_header(request.headers, name);
        if (!value.empty()) {
            add_header(outgoing.headers, name, std::string(value));
        }
    }
    add_header(outgoing.headers, headers::peer_key, peer_key);
    add_header(outgoing.headers, headers::kind,
               action.kind == node::peer_request_kind::admit ? "admit" : "resend");
    add_header(outgoing.headers, headers::from, self.id.str());
    add_header(outgoing.headers, headers::from_region, self.region.str());
    add_header(outgoing.headers, headers::request_class, std::string(quota::to_string(action.priority)));
    add_header(outgoing.headers, headers::deadline_ms, remaining_ms(now, deadline));
    outgoing.body = request.body;
    return outgoing;
}

node::upstream_result upstream_result_of(http::call_result call, const std::string& request_id)
{
    node::upstream_result result;
    result.status = attempt_status_of(call.status);
    if (call.status != http::call_status::complete) {
        return result;
    }
    const auto& fields = call.response.headers;
    const auto echoed_id = http::find_header(fields, headers::request_id);
    if (!echoed_id.empty() && echoed_id != request_id) {
        //! NOTE The response belongs to another request, so it is unknown whether this one ran.
        result.status = node::attempt_status::timed_out;
        return result;
    }
    result.is_shed = call.response.status == status_service_unavailable &&
                     !http::find_header(fields, headers::upstream_shed).empty();
    result.is_leaving = !http::find_header(fields, headers::upstream_draining).empty();
    result.reported_in_use = parse_number_or(http::find_header(fields, headers::upstream_load), -1);
    result.upstream_response = make_response_record(std::move(call.response));
    return result;
}

node::peer_result peer_result_of(http::call_result call)
{
    node::peer_result result;
    result.status = attempt_status_of(call.status);
    if (call.status != http::call_status::complete) {
        return result;
    }
    const auto& fields = call.response.headers;
    try {
        result.result = requests::parse_outcome(http::find_header(fields, headers::outcome));
        const auto reason = http::find_header(fields, headers::reason);
        result.reason =
            reason.empty() ? admission::refusal_reason::none : admission::parse_refusal_reason(reason);
        const auto report = http::find_header(fields, headers::owner_report);
        if (!report.empty()) {
            result.report = peers::decode_service_report(report);
        }
        result.tickets = parse_ticket_block(http::find_header(fields, headers::tickets));
    } catch (const error&) {
        result.result = requests::outcome::unknown;
    }
    result.retry_after =
        std::chrono::milliseconds(parse_number_or(http::find_header(fields, headers::retry_after_ms), 0));
    if (result.result == requests::outcome::done) {
        result.upstream_response = make_response_record(std::move(call.response));
    }
    return result;
}

http::http_response response_of(const node::response_action& answer)
{
    http::http_response response;
    if (answer.upstream_response) {
        response.status = answer.upstream_response->status;
        const bool is_shared = answer.upstream_response->use_count() > 1;
        response.headers =
            is_shared ? answer.upstream_response->headers : std::move(answer.upstream_response->headers);
        response.body =
            is_shared ? answer.upstream_response->body : std::move(answer.upstream_response->body);
    } else if (answer.result == requests::outcome::done) {
        //! NOTE The request ran, but its response is no longer stored.
        response.status = 208;
    } else if (answer.result == requests::outcome::unknown) {
        response.status = 502;
    } else {
        response.status = status_of_refusal(answer.reason);
    }
    add_header(response.headers, headers::outcome, std::string(requests::to_string(answer.result)));
    if (answer.reason != admission::refusal_reason::none) {
        add_header(response.headers, headers::reason, std::string(admission::to_string(answer.reason)));
    }
    if (answer.retry_after > duration{}) {
        add_header(response.headers, headers::retry_after_ms,
                   std::to_string(to_milliseconds(answer.retry_after)));
    }
    if (answer.report) {
        add_header(response.headers, headers::owner_report, peers::encode_service_report(*answer.report));
    }
    if (answer.tickets.count > 0) {
        add_header(response.headers, headers::tickets, format_ticket_block(answer.tickets));
    }
    return response;
}

http::http_response lookup_response_of(const node::lookup_response& answer)
{
    json::array entries;
    for (const auto& entry : answer.entries) {
        entries.push_back(
            {{"id", entry.id.str()}, {"region", entry.region.str()}, {"address", entry.address}});
    }
    json::object body{{"ttl_ms", answer.ttl.count()}, {"entries", std::move(entries)}};
    if (answer.tickets.count > 0) {
        body["tickets"] = json_of(answer.tickets);
    }
    http::http_response response;
    response.status = answer.entries.empty() ? 503 : 200;
    add_header(response.headers, "Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}
} // namespace buckthornhill::daemon
