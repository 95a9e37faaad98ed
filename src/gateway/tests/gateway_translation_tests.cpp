#include <catch2/catch.hpp>

#include "gateway/gateway_translation.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
const time_point now{std::chrono::seconds(50)};

http::call_result complete(unsigned status)
{
    http::call_result result;
    result.status = http::call_status::complete;
    result.response.status = status;
    return result;
}
} // namespace

TEST_CASE(
    "[GIVEN] a caller's request [WHEN] it is translated [THEN] host, path, object and deadline are facts",
    "[gateway]")
{
    http::http_request request;
    request.target = "/a/b?c=d";
    request.headers = {{"host", "h.example:8080"}};
    request_metadata metadata{"id-1", "object-7", milliseconds(800), ""};

    const auto facts = facts_of(request, metadata, flow_id(3), now);

    CHECK(facts.host == "h.example");
    CHECK(facts.path == "/a/b");
    CHECK(facts.has_object);
    CHECK(facts.deadline == now + milliseconds(800));

    metadata.request_id = "id-2";
    CHECK(facts_of(request, metadata, flow_id(4), now).object == facts.object);
    metadata.object.clear();
    metadata.time_left.reset();
    const auto unnamed = facts_of(request, metadata, flow_id(5), now);
    CHECK_FALSE(unnamed.has_object);
    CHECK(unnamed.deadline > now);
}

TEST_CASE(
    "[GIVEN] a request that is sent again [WHEN] it is translated [THEN] the fingerprint is the same, and "
    "another one for any other method, host, target, caller or body",
    "[gateway]")
{
    http::http_request request;
    request.method = "PUT";
    request.target = "/a/b?c=d";
    request.headers = {{"Host", "h.example"}};
    request.body = "text";
    request_metadata metadata;
    metadata.request_id = "first";
    metadata.caller = "account";
    const auto print_of = [&metadata](const http::http_request& sent) {
        return facts_of(sent, metadata, flow_id(1), now).request_fingerprint;
    };
    const auto print = print_of(request);

    metadata.request_id = "second";
    metadata.time_left = milliseconds(10);
    CHECK(print_of(request) == print);

    auto other = request;
    other.method = "POST";
    CHECK(print_of(other) != print);
    other = request;
    other.headers = {{"Host", "i.example"}};
    CHECK(print_of(other) != print);
    other = request;
    other.target = "/a/b?c=e";
    CHECK(print_of(other) != print);
    other = request;
    other.body = "texts";
    CHECK(print_of(other) != print);
    metadata.caller = "another account";
    CHECK(print_of(request) != print);
}

TEST_CASE("[GIVEN] results of calls [WHEN] they are translated [THEN] a request that may have run is never "
          "reported as not executed",
          "[gateway][honest answers]")
{
    using proxy::transport_status;
    http::call_result result;
    result.status = http::call_status::connect_failed;
    CHECK(outcome_of(result, {}).status == transport_status::connect_failed);
    result.status = http::call_status::timed_out;
    CHECK(outcome_of(result, {}).status == transport_status::timed_out);
    result.status = http::call_status::cancelled;
    CHECK(outcome_of(result, {}).status == transport_status::broken);

    response_metadata refused;
    refused.is_not_executed = true;
    CHECK(outcome_of(complete(503), refused).is_not_executed);
    CHECK_FALSE(outcome_of(complete(503), {}).is_not_executed);
    CHECK(outcome_of(complete(500), {}).is_server_failure);
    CHECK_FALSE(outcome_of(complete(404), {}).is_server_failure);
}

TEST_CASE("[GIVEN] a success without the upstream's signature [WHEN] it is translated [THEN] it does not "
          "count as a response",
          "[gateway]")
{
    response_metadata unsigned_response;
    unsigned_response.is_authentic = false;
    CHECK(outcome_of(complete(200), unsigned_response).status == proxy::transport_status::broken);
}

//! Guards against stray bytes that pass for a rejection, after which the request runs a second time or is
//! refused although it ran.
TEST_CASE(
    "[GIVEN] a request with an id [WHEN] bytes without it, or with another id, arrive [THEN] they are no "
    "response to it",
    "[gateway][honest answers][pattern: additional bytes after a response]")
{
    response_metadata stray;
    stray.is_not_executed = true;
    CHECK_FALSE(is_response_to("id-1", stray));
    stray.request_id = "id-0";
    CHECK_FALSE(is_response_to("id-1", stray));
    stray.request_id = "id-1";
    CHECK(is_response_to("id-1", stray));
    CHECK(is_response_to({}, {}));
}

//! Guards against an upstream's status that tells the caller that nothing ran although the upstream did not
//! say so.
TEST_CASE(
    "[GIVEN] a response that only callers take for a rejection [WHEN] it is translated [THEN] it is not "
    "forwarded",
    "[gateway][honest answers]")
{
    response_metadata metadata;
    metadata.promises_not_executed = true;
    CHECK(outcome_of(complete(503), metadata).status == proxy::transport_status::broken);
    metadata.is_not_executed = true;
    CHECK(outcome_of(complete(503), metadata).status == proxy::transport_status::complete);
}
