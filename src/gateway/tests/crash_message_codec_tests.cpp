#include <catch2/catch.hpp>

#include "gateway/crash_message_codec.h"
#include "gateway/gateway_errors.h"
#include "gateway/peer_message_codec.h"
#include "text_mutator.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
quarantine::suspect_report make_report()
{
    return {fingerprint(1, 2),   {upstream_run("u1@7"), upstream_run("u2@9")},
            milliseconds(1500),  milliseconds(20),
            milliseconds(60000), 1};
}

crash_message make_message()
{
    crash_message message;
    message.notes.push_back({fingerprint(3, 4), upstream_run("u3@1"), milliseconds(12), false});
    message.reports.push_back(make_report());
    message.cleared.push_back(fingerprint(5, 6));
    message.trial = fingerprint(7, 8);
    return message;
}

void check_same(const quarantine::suspect_report& a, const quarantine::suspect_report& b)
{
    CHECK(a.request_fingerprint == b.request_fingerprint);
    CHECK(a.runs == b.runs);
    CHECK(a.first_crash_age == b.first_crash_age);
    CHECK(a.last_crash_age == b.last_crash_age);
    CHECK(a.quarantine_left == b.quarantine_left);
    CHECK(a.quarantines == b.quarantines);
}
} // namespace

TEST_CASE("[GIVEN] a message about crashes and its response [WHEN] they are encoded [THEN] they are decoded "
          "as they were",
          "[gateway]")
{
    const auto sent = make_message();
    const auto received = decode_crash_message(encode_crash_message(sent));
    REQUIRE(received.notes.size() == 1);
    CHECK(received.notes.front().request_fingerprint == sent.notes.front().request_fingerprint);
    CHECK(received.notes.front().run == sent.notes.front().run);
    CHECK(received.notes.front().age == sent.notes.front().age);
    REQUIRE(received.reports.size() == 1);
    check_same(received.reports.front(), sent.reports.front());
    CHECK(received.cleared == sent.cleared);
    CHECK(received.trial == sent.trial);
    CHECK_FALSE(decode_crash_message(encode_crash_message({})).trial);

    const crash_response response{{make_report()}, {fingerprint(9, 9)}, true};
    const auto answered = decode_crash_response(encode_crash_response(response));
    REQUIRE(answered.reports.size() == 1);
    check_same(answered.reports.front(), response.reports.front());
    CHECK(answered.refuted == response.refuted);
    CHECK(answered.is_trial_granted);
}

TEST_CASE("[GIVEN] a heartbeat with quarantined requests [WHEN] it is decoded [THEN] they are there, and "
          "none when an "
          "earlier version sent it",
          "[gateway]")
{
    peer_heartbeat heartbeat;
    heartbeat.quarantined.push_back(make_report());
    const auto received = decode_peer_heartbeat(encode_peer_heartbeat(heartbeat));
    REQUIRE(received.quarantined.size() == 1);
    check_same(received.quarantined.front(), make_report());
    CHECK(decode_peer_heartbeat(R"({"members":[],"changed_at":{}})").quarantined.empty());
}

TEST_CASE("[GIVEN] malformed messages about crashes [WHEN] they are decoded [THEN] nothing but gateway_error "
          "is thrown",
          "[gateway][pattern: malformed messages]")
{
    testing::text_mutator mutator(23);
    const auto message = encode_crash_message(make_message());
    const auto response = encode_crash_response({{make_report()}, {fingerprint(9, 9)}, true});
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto mutated = mutator.mutate(i % 2 == 0 ? message : response);
        INFO(mutated);
        try {
            if (i % 2 == 0) {
                decode_crash_message(mutated);
            } else {
                decode_crash_response(mutated);
            }
        } catch (const gateway_error&) {
            ++refused;
        } catch (const std::exception& failure) {
            FAIL(failure.what());
        }
    }
    CHECK(refused > 1000);
}
