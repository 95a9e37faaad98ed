#include <catch2/catch.hpp>

#include "raw_upstream.h"
#include "single_gateway.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr const char* service = "stock";
constexpr milliseconds patience{1500};

//! Lines that are no fields, and statuses that mean nothing.
const std::vector<std::pair<std::string, std::string>> odd_heads{
    {"200 OK", "Odd Name: 1"},
    {"200 OK", "Odd\tName: 1"},
    {"200 OK", std::string("Odd\0Name: 1", 11)},
    {"200 OK", "Odd\x01Name: 1"},
    {"200 OK", "Odd\x7FName: 1"},
    {"200 OK", "Odd : 1"},
    {"200 OK", "Content-Length : 4"},
    {"200 OK", "Transfer-Encoding : chunked"},
    {"200 OK", ": 1"},
    {"200 OK", "no colon"},
    {"200 OK", "Odd: a\rb"},
    {"000 Zero", "Even: 1"},
    {"000", "Even: 1"},
};
} // namespace

//! Guards against responses that mean nothing and reach callers as answers.
TEST_CASE("[GIVEN] an upstream whose heads are malformed [WHEN] callers send requests [THEN] none gets its "
          "response",
          "[malformed responses]")
{
    single_gateway deployment("malformed-responses", {{"/read/", service, true}});
    std::size_t next = 0;
    raw_upstream upstream(deployment.context, [&next](const auto& request, const raw_connection&) {
        const auto id = std::string(http::find_header(request.headers, "Request-Id"));
        const auto& [status, line] = odd_heads[next];
        return "HTTP/1.1 " + status + "\r\n" + line + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." +
               id + "\r\nContent-Length: 4\r\n\r\nbody";
    });
    for (std::size_t i = 0; i < odd_heads.size(); ++i) {
        //! The gateway avoids an upstream after some failures, so each head comes from another one.
        put_registration(deployment.store,
                         {"u" + std::to_string(i), service, "north-a", upstream.address(), i});
    }
    deployment.start();
    for (; next < odd_heads.size(); ++next) {
        const auto id = "r" + std::to_string(next);
        const auto result = deployment.send(make_request("GET", "/read/" + id, id, patience), patience);
        CAPTURE(odd_heads[next].first, odd_heads[next].second);
        CHECK(result.status == http::call_status::complete);
        CHECK((result.response.status == 502 || result.response.status == 503));
        CHECK(http::find_header(result.response.headers, "Response-Signature").empty());
    }
}
