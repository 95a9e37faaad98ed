#include <catch2/catch.hpp>

#include "daemon/request_translation.h"

using namespace buckthornhill;
using namespace buckthornhill::daemon;

namespace {
http::call_result completed_call(const http::header_list& headers, unsigned status = 200)
{
    http::call_result call;
    call.status = http::call_status::complete;
    call.was_sent = true;
    call.response = {status, headers, "body"};
    return call;
}

bool has_header(const http::header_list& headers, std::string_view name)
{
    return !http::find_header(headers, name).empty();
}
} // namespace

SCENARIO("a response to another request is not passed on", "[daemon]")
{
    // [GIVEN] A response that echoes the request's id, one that echoes another id, and one that echoes none
    const auto with_own_id = upstream_result_of(completed_call({{"Request-Id", "a-1-1"}}), "a-1-1");
    const auto with_other_id = upstream_result_of(completed_call({{"Request-Id", "a-2-1"}}), "a-1-1");
    const auto without_id = upstream_result_of(completed_call({}), "a-1-1");
    // [THEN] The response with the other id is not passed on, and it does not count as a crash
    REQUIRE(with_own_id.upstream_response->body == "body");
    REQUIRE(with_other_id.upstream_response == nullptr);
    REQUIRE(with_other_id.status == node::attempt_status::timed_out);
    REQUIRE(without_id.status == node::attempt_status::complete);
}

SCENARIO("only a 503 with Upstream-Shed means that the request was not run", "[daemon]")
{
    REQUIRE(upstream_result_of(completed_call({{"Upstream-Shed", "1"}}, 503), "x").is_shed);
    REQUIRE_FALSE(upstream_result_of(completed_call({}, 503), "x").is_shed);
    REQUIRE_FALSE(upstream_result_of(completed_call({{"Upstream-Shed", "1"}}, 200), "x").is_shed);
}

SCENARIO("headers reserved for the instances are not sent to upstreams", "[daemon]")
{
    // [GIVEN] A request with its own headers and with reserved headers
    http::http_request request{"POST", "/orderdesk/a", {}, "x"};
    request.headers = {{"bth-class", "within-quota"}, {"BTH-Peer-Key", "k"}, {"Upstream-Load", "9"},
                       {"Request-Id", "forged"},      {"Host", "h"},         {"Order-Id", "o"}};
    const auto now = std::chrono::steady_clock::now();
    // [WHEN] It is sent to an upstream [THEN] its own headers are sent, reserved ones are removed or replaced
    const auto sent = upstream_request_of(request, now, now + std::chrono::milliseconds(500), "id-1");
    REQUIRE(http::find_header(sent.headers, "Order-Id") == "o");
    REQUIRE(http::find_header(sent.headers, "Request-Id") == "id-1");
    REQUIRE(http::find_header(sent.headers, "Upstream-Deadline-Ms") == "500");
    REQUIRE_FALSE(has_header(sent.headers, "Bth-Class"));
    REQUIRE_FALSE(has_header(sent.headers, "Bth-Peer-Key"));
    REQUIRE_FALSE(has_header(sent.headers, "Upstream-Load"));
}
