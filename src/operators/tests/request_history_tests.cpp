#include <sstream>

#include <catch2/catch.hpp>

#include "operators/request_history.h"

using namespace buckthornhill::operators;

namespace {
//! Logs of two instances around three requests.
constexpr const char* log_of_a = R"(a line that is no JSON
  10.2 a {"time_ms":9000,"part":"view","event":"upstream_changed","upstream":"u1","state":"leaving"}
{"time_ms":9500,"part":"view","event":"upstream_changed","upstream":"u9","state":"ready"}
{"time_ms":10000,"part":"requests","event":"send_failed","request":"r1","send":1,"upstream":"u1","detail":"reset"}
{"time_ms":10001,"part":"requests","event":"answer","request":"r1","outcome":"failed","reason":"the request may have run","upstream":"u1"}
{"time_ms":10002,"part":"requests","event":"answer","request":"r2","outcome":"refused","reason":"overloaded"}
{"time_ms":10003,"part":"view","event":"upstreams_changed","state":"removed","upstreams":["u1","u7"]}
{"time_ms":10004,"part":"view","event":"upstreams_changed","state":"ready","upstreams":["u8"]}
{"time_ms":30000,"part":"requests","event":"answer","request":"r4","fingerprint":"bb02","outcome":"refused","reason":"quarantined"}
{"time_ms":90000,"part":"view","event":"store_lost","collection":"upstreams"}
)";
constexpr const char* log_of_b = R"({"time_ms":9990,"part":"gateway","event":"paused","ms":700}
{"time_ms":10005,"part":"requests","event":"answer","request":"r3","outcome":"refused","reason":"paused"}
{"time_ms":1000,"part":"quarantine","event":"crash","run":"u4@7","fingerprints":["aa01","bb02"]}
{"time_ms":1001,"part":"quarantine","event":"crash","run":"u5@7","fingerprints":["cc03"]}
{"time_ms":1003,"part":"quarantine","event":"quarantined","fingerprint":"bb02","ended":["u4@7","u6@7"],"for_ms":60000}
)";

request_history history_of(const std::string& request)
{
    request_history history(request);
    std::istringstream a(log_of_a);
    std::istringstream b(log_of_b);
    history.read_log("a.log", a);
    history.read_log("b.log", b);
    history.select_lines();
    return history;
}

bool has(const request_history& history, const std::string& text)
{
    return history.text(false).find(text) != std::string::npos;
}
} // namespace

TEST_CASE("[GIVEN] logs of two processes [WHEN] a request is explained [THEN] its lines and their context "
          "are sorted by time",
          "[operators]")
{
    const auto history = history_of("r1");
    REQUIRE(history.is_found());
    const auto text = history.text(false);
    CHECK(text.find("leaving") < text.find("send_failed"));
    CHECK(text.find("send_failed") < text.find("\"answer\""));
    CHECK(has(history, "It may have run"));
    CHECK(has(history, "u7"));
    CHECK_FALSE(has(history, "u8"));
    CHECK_FALSE(has(history, "u9"));
    CHECK_FALSE(has(history, "store_lost"));
    CHECK_FALSE(has(history, "b.log"));
}

TEST_CASE("[GIVEN] each kind of failure [WHEN] it is explained [THEN] its cause is named", "[operators]")
{
    CHECK(has(history_of("r2"), "all were at capacity"));
    const auto paused = history_of("r3");
    CHECK(has(paused, "was paused"));
    CHECK(has(paused, "\"ms\":700"));
}

TEST_CASE("[GIVEN] an id that no log names [WHEN] it is explained [THEN] nothing is found", "[operators]")
{
    CHECK_FALSE(history_of("r7").is_found());
}

TEST_CASE("[GIVEN] a request that was refused because others like it crashed upstreams [WHEN] it is "
          "explained [THEN] "
          "these crashes are shown, whenever and wherever they were",
          "[operators]")
{
    const auto history = history_of("r4");
    CHECK(has(history, "upstreams ended while requests with the same content"));
    CHECK(has(history, "u4@7"));
    CHECK(has(history, "u6@7"));
    CHECK_FALSE(has(history, "cc03"));
}
