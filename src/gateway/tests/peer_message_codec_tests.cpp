#include <functional>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_errors.h"
#include "gateway/peer_message_codec.h"
#include "text_mutator.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
const time_point now{std::chrono::hours(1)};

membership::member_description make_member()
{
    membership::member_description member;
    member.id = instance_id("entry-1");
    member.incarnation = incarnation_id(77);
    member.region = region_id("north");
    member.domain = domain_id("north-a");
    member.peer_address = "10.0.0.1:7000";
    member.caller_address = "10.0.0.1:80";
    return member;
}
} // namespace

TEST_CASE("[GIVEN] a peer heartbeat [WHEN] it is encoded and decoded [THEN] nothing is lost", "[gateway]")
{
    peer_heartbeat heartbeat;
    heartbeat.members.push_back({make_member(), membership::member_state::leaving, 9});
    heartbeat.members.push_back({{instance_id("entry-2"), incarnation_id(5), {}, {}, {}, {}}, {}, 3, true});
    heartbeat.changed_at[store::collection::upstreams] = {{}, object_version(41)};

    const auto decoded = decode_peer_heartbeat(encode_peer_heartbeat(heartbeat));

    REQUIRE(decoded.members.size() == 2);
    CHECK(decoded.members[1].is_brief);
    CHECK(decoded.members[1].sequence == 3);
    const auto& record = decoded.members.front();
    CHECK(record.state == membership::member_state::leaving);
    CHECK(record.sequence == 9);
    CHECK(record.description.id == instance_id("entry-1"));
    CHECK(record.description.incarnation == incarnation_id(77));
    CHECK(record.description.domain == domain_id("north-a"));
    CHECK(record.description.caller_address == "10.0.0.1:80");
    CHECK(decoded.changed_at.at(store::collection::upstreams).revision == object_version(41));
}

TEST_CASE("[GIVEN] a collection [WHEN] a peer sends it [THEN] it arrives whole with its version", "[gateway]")
{
    store::collection_update update;
    update.is_snapshot = true;
    update.which = store::collection::evacuations;
    update.version = object_version(6);
    update.changes.push_back({{"north-a", "{\"quoted\":\"text\"}", object_version(5)}, false});

    const auto decoded = decode_collection(now, encode_collection(now, update));

    CHECK(decoded.which == store::collection::evacuations);
    CHECK(decoded.is_snapshot);
    CHECK(decoded.version == object_version(6));
    REQUIRE(decoded.changes.size() == 1);
    CHECK(decoded.changes[0].object.text == "{\"quoted\":\"text\"}");
    CHECK(decoded.changes[0].object.version == object_version(5));
}

TEST_CASE("[GIVEN] changes of a collection [WHEN] a relay passes them on [THEN] removals stay removals",
          "[gateway]")
{
    store::collection_update update;
    update.which = store::collection::upstreams;
    update.version = object_version(9);
    update.changes.push_back({{"u1", "text", object_version(8)}, false});
    update.changes.push_back({{"u2", "", object_version(9)}, true});

    const auto decoded = decode_relay_response(now, encode_relay_response(now, {true, {update}}));

    CHECK(decoded.is_source);
    REQUIRE(decoded.updates.size() == 1);
    CHECK_FALSE(decoded.updates[0].is_snapshot);
    REQUIRE(decoded.updates[0].changes.size() == 2);
    CHECK_FALSE(decoded.updates[0].changes[0].is_removed);
    CHECK(decoded.updates[0].changes[1].is_removed);
    CHECK(decoded.updates[0].changes[1].object.name == "u2");
    CHECK_FALSE(decoded.updates[0].changes[1].lapse_deadline);
    CHECK_THROWS_AS(decode_relay_response(now, "{}"), gateway_error);
}

//! Guards against a follower that asks late and gets a grace period of its own for a removal.
TEST_CASE("[GIVEN] a removal that may be a lapse [WHEN] followers ask for it later [THEN] they get the time "
          "that is left",
          "[gateway][pattern: upstreams leave after an outage of the store]")
{
    const auto deadline = now + milliseconds(1900);
    const auto passed = GENERATE(milliseconds(0), milliseconds(1500), milliseconds(5000));
    store::collection_update update;
    update.which = store::collection::upstreams;
    update.version = object_version(9);
    update.changes.push_back({{"u1", "", object_version(8)}, true, deadline});
    update.changes.push_back({{"u2", "", object_version(9)}, true});
    //! The follower's clock has another origin.
    const time_point there{std::chrono::hours(7)};
    const auto left = std::max(milliseconds(0), milliseconds(1900) - passed);
    const auto decoded = decode_relay_response(there, encode_relay_response(now + passed, {true, {update}}));
    REQUIRE(decoded.updates[0].changes.size() == 2);
    CHECK(decoded.updates[0].changes[0].lapse_deadline == there + left);
    CHECK_FALSE(decoded.updates[0].changes[1].lapse_deadline);

    store::collection_update list;
    list.which = store::collection::upstreams;
    list.is_snapshot = true;
    list.lapse_deadline = deadline;
    CHECK(decode_collection(there, encode_collection(now + passed, list)).lapse_deadline == there + left);
    for (const auto* text : {"-1", "70000", "\"1\""}) {
        CHECK_THROWS_AS(
            decode_collection(there, R"({"collection":"upstreams","at":1,"whole":true,"after_outage":true,)"
                                     R"("objects":[],"lapse_ms":)" +
                                         std::string(text) + "}"),
            gateway_error);
    }
}

TEST_CASE("[GIVEN] a registration [WHEN] another instance reads it [THEN] it finds the addresses",
          "[gateway]")
{
    const auto decoded = decode_registration(encode_registration(make_member()));
    CHECK(decoded.peer_address == "10.0.0.1:7000");
    CHECK(decoded.id == instance_id("entry-1"));
}

TEST_CASE("[GIVEN] malformed messages [WHEN] they are decoded [THEN] each throws gateway_error", "[gateway]")
{
    for (const auto* text : {"", "[]", "{}", R"({"members":[[]],"changed_at":{}})",
                             R"({"members":[],"changed_at":{"secrets":1}})",
                             R"({"members":[["a",1,99,1,"r","d","p","c"]],"changed_at":{}})"}) {
        CHECK_THROWS_AS(decode_peer_heartbeat(text), gateway_error);
    }
    CHECK_THROWS_AS(decode_collection(now, "{\"collection\":\"upstreams\"}"), gateway_error);
    CHECK_THROWS_AS(decode_registration("{\"id\":7}"), gateway_error);
}

TEST_CASE(
    "[GIVEN] a member record with an invalid address [WHEN] it is decoded [THEN] the message is refused",
    "[gateway]")
{
    for (const auto* address : {"nowhere", "10.0.0.1", "10.0.0.1:x", "host:80", ""}) {
        auto member = make_member();
        member.peer_address = address;
        CHECK_THROWS_AS(decode_peer_heartbeat(
                            encode_peer_heartbeat({{{member, membership::member_state::live, 9}}, {}, {}})),
                        gateway_error);
        CHECK_THROWS_AS(decode_registration(encode_registration(member)), gateway_error);
        member = make_member();
        member.caller_address = address;
        CHECK_THROWS_AS(decode_peer_heartbeat(
                            encode_peer_heartbeat({{{member, membership::member_state::live, 9}}, {}, {}})),
                        gateway_error);
    }
}

TEST_CASE(
    "[GIVEN] peers' messages [WHEN] they are corrupted anywhere [THEN] each is decoded or refused as a whole",
    "[gateway][pattern: malformed messages]")
{
    peer_heartbeat heartbeat;
    heartbeat.members.push_back({make_member(), membership::member_state::live, 9});
    heartbeat.members.push_back({{instance_id("entry-2"), incarnation_id(5), {}, {}, {}, {}}, {}, 3, true});
    heartbeat.changed_at[store::collection::upstreams] = {{}, object_version(41)};
    store::collection_update update;
    update.which = store::collection::upstreams;
    update.version = object_version(6);
    update.changes = {{{"u1", R"({"a":1})", object_version(5)}, false},
                      {{"u2", "", object_version(6)}, true}};
    const auto texts = std::vector<std::string>{
        encode_peer_heartbeat(heartbeat), encode_collection(now, update),
        encode_relay_response(now, {true, {update}}), encode_registration(make_member())};
    const std::vector<std::function<void(const std::string&)>> readers{
        [](const std::string& text) { decode_peer_heartbeat(text); },
        [](const std::string& text) { decode_collection(now, text); },
        [](const std::string& text) { decode_relay_response(now, text); },
        [](const std::string& text) { decode_registration(text); }};
    testing::text_mutator mutator(11);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto kind = static_cast<std::size_t>(i) % texts.size();
        const auto mutated = mutator.mutate(texts[kind]);
        INFO(mutated);
        bool is_other_error = false;
        try {
            readers[kind](mutated);
        } catch (const gateway_error&) {
            ++refused;
        } catch (...) {
            is_other_error = true;
        }
        REQUIRE_FALSE(is_other_error);
    }
    CHECK(refused > 10000);
}
