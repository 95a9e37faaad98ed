#include <map>

#include <catch2/catch.hpp>

#include "early_upstream.h"
#include "single_gateway.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr const char* service = "stock";
constexpr milliseconds patience{4000};
constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t upload_bytes = 24 * megabyte;
constexpr int uploads = 10;
constexpr std::size_t max_upload_bytes = 64 * megabyte;
const std::string response_body = "what it has to say";

//! How often each response reached the caller of an upload, by status, while the upstream ends in this way.
std::map<std::string, int> outcomes_of_uploads(const early_ending& ending)
{
    const std::vector<route_description> routes{
        {.path_prefix = "/upload/", .service = service, .timeout = patience, .takes_uploads = true}};
    single_gateway deployment("early-responses", routes, "max-memory-mb = 2000\n");
    put_configuration(deployment.store, 2, routes, {}, {}, max_upload_bytes);
    early_upstream upstream(
        deployment.context,
        [](const std::string& id) {
            return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id + "\r\n\r\n" +
                   response_body;
        },
        ending);
    put_registration(deployment.store, {"only", service, "north-a", upstream.address(), 1});
    deployment.start();
    std::map<std::string, int> outcomes;
    for (int i = 0; i < uploads; ++i) {
        auto request = make_request("POST", "/upload/1", "r" + std::to_string(i), patience);
        request.body.assign(upload_bytes, 'x');
        const auto result = deployment.send(request, patience);
        ++outcomes[std::to_string(result.response.status)];
        if (result.response.status == 200) {
            CHECK(result.response.body == response_body);
        }
        //! A caller must be able to tell a response that ends early.
        CHECK_FALSE(http::find_header(result.response.headers, "Content-Length").empty());
    }
    return outcomes;
}
} // namespace

//! Guards against a part of a response that reaches the caller of an upload as a complete one.
TEST_CASE("[GIVEN] an upload in progress [WHEN] the upstream sends a part of its response and resets the "
          "connection [THEN] the caller gets 502",
          "[early responses]")
{
    const auto ending = GENERATE(early_ending{milliseconds(60), 0, true},
                                 early_ending{milliseconds(0), upload_bytes / 3, true});
    auto outcomes = outcomes_of_uploads(ending);
    CHECK(outcomes["502"] > 0);
    //! The upstream is avoided after some failures; the rest are refused and not sent.
    CHECK(outcomes["502"] + outcomes["503"] == uploads);
}

//! Guards against complete responses that are taken for a part because the upload is not over.
TEST_CASE("[GIVEN] an upload in progress [WHEN] the upstream responds, ends its side and reads on [THEN] the "
          "caller gets the response",
          "[early responses]")
{
    CHECK(outcomes_of_uploads({milliseconds(60), 0, false}) == std::map<std::string, int>{{"200", uploads}});
}
