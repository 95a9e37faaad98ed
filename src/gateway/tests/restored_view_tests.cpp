#include <catch2/catch.hpp>

#include "gateway/confirmation_source.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_errors.h"
#include "gateway/peer_message_codec.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::collection;
using store::store_era;

namespace {
const time_point start{seconds(100)};
const service_id service("s");

//! Reads a configuration's version, and the domain of an upstream, from the text of the object.
gateway_dialect make_dialect()
{
    gateway_dialect dialect;
    dialect.configuration_name = "main";
    dialect.decode_configuration = [](const std::string& text) {
        if (text == "invalid") {
            throw gateway_error(text);
        }
        routing::routing_configuration configuration;
        configuration.version = routing::configuration_version(std::stoull(text));
        return configuration;
    };
    dialect.decode_upstream = [](const std::string& name, const std::string& text) {
        fleet::upstream_entry entry;
        entry.id = upstream_id(name);
        entry.service = service;
        entry.address = "127.0.0.1:1";
        entry.is_leaving = text == "leaving";
        entry.where.domain = domain_id("d1");
        return entry;
    };
    return dialect;
}

struct instance_fixture
{
    void list(collection which, std::uint64_t era, std::uint64_t at,
              const std::vector<std::pair<std::string, std::string>>& objects)
    {
        store::collection_update update{which, true, {}, object_version(at), {}, store_era(era)};
        for (const auto& [name, text] : objects) {
            update.changes.push_back({{name, text, object_version(at)}, false});
        }
        this->view.apply(start, update);
    }

    void change(collection which, std::uint64_t era, std::uint64_t at, const std::string& name,
                const std::optional<std::string>& text)
    {
        const store::object_change one{{name, text.value_or(""), object_version(at)}, !text};
        this->view.apply(start, {which, false, {}, object_version(at), {one}, store_era(era)});
    }

    //! Applies the store's configuration and returns whether that confirms the one in force.
    bool is_confirmed_by_store(std::uint64_t era, std::uint64_t at, const std::string& text)
    {
        store::collection_update update{
            collection::configuration, true, {}, object_version(at), {}, store_era(era), seconds(1)};
        update.changes.push_back({{"main", text, object_version(at)}, false});
        this->view.apply(start, update);
        return this->view.is_confirmed_by(update);
    }

    bool is_confirmed_by_instance(std::uint64_t version)
    {
        return this->view.is_confirmed_by({routing::configuration_version(version), milliseconds(1)});
    }

    //! What the instance does once the witnesses that it asked have answered.
    void settle() { this->view.on_witnesses_heard(); }

    bool answers_confirmation() { return this->view.own_confirmation(seconds(2)).has_value(); }

    void confirm_for(collection which, seconds time)
    {
        for (auto at = start; at <= start + time; at += seconds(1)) {
            this->view.on_confirmed(at, which);
        }
    }

    std::size_t usable() { return this->core.upstreams().usable(service).size(); }
    std::uint64_t configuration() { return this->core.routes().version().value(); }

    peer_heartbeat heartbeat()
    {
        peer_heartbeat sent;
        this->view.describe(sent);
        return decode_peer_heartbeat(encode_peer_heartbeat(sent));
    }

    gateway_dialect dialect = make_dialect();
    proxy::proxy_core core{instance_id("i1"), {}, {}, [] { return std::uint64_t{1}; }};
    fleet_view view{this->dialect, this->core, {milliseconds(4500), milliseconds(4000)}};
};
} // namespace

//! Guards against a gap in the use of upstreams, and against using those that were seen leaving.
TEST_CASE(
    "[GIVEN] a restored store [WHEN] it lacks upstreams [THEN] they stay usable until they were absent for "
    "long enough, and those that left stay unused",
    "[gateway][pattern: the store is restored from an older copy]")
{
    instance_fixture instance;
    instance.list(collection::upstreams, 1, 50,
                  {{"a", "ready"}, {"b", "ready"}, {"c", "ready"}, {"d", "ready"}});
    instance.change(collection::upstreams, 1, 51, "c", "leaving");
    instance.change(collection::upstreams, 1, 52, "d", std::nullopt);
    CHECK(instance.usable() == 2);

    instance.list(collection::upstreams, 2, 30, {{"a", "ready"}, {"c", "ready"}, {"d", "ready"}});
    CHECK(instance.usable() == 2);
    CHECK(instance.core.upstreams().find_usable(upstream_id("b")) != nullptr);
    instance.confirm_for(collection::upstreams, seconds(4));
    CHECK(instance.usable() == 2);
    SECTION("an upstream that ended meanwhile")
    {
        instance.change(collection::upstreams, 2, 31, "d", std::nullopt);
        instance.confirm_for(collection::upstreams, seconds(5));
        CHECK(instance.usable() == 1);
    }
    SECTION("an upstream that registers again")
    {
        instance.change(collection::upstreams, 2, 31, "b", "ready");
        instance.change(collection::upstreams, 2, 32, "d", std::nullopt);
        instance.confirm_for(collection::upstreams, seconds(5));
        CHECK(instance.usable() == 2);
    }
}

//! Guards against requests for an evacuated failure domain.
TEST_CASE(
    "[GIVEN] a restored store [WHEN] it lacks an evacuation [THEN] the failure domain stays evacuated until "
    "the operator would have written it again",
    "[gateway][pattern: the store is restored from an older copy]")
{
    instance_fixture instance;
    instance.list(collection::upstreams, 1, 50, {{"a", "ready"}});
    instance.list(collection::evacuations, 1, 50, {{"d1", ""}});
    CHECK(instance.usable() == 0);
    instance.list(collection::evacuations, 2, 30, {});
    CHECK(instance.usable() == 0);
    instance.confirm_for(collection::evacuations, seconds(4));
    CHECK(instance.usable() == 0);
    instance.confirm_for(collection::evacuations, seconds(5));
    CHECK(instance.usable() == 1);
}

//! Guards against callers that see an older configuration, and against one that blocks those written since.
TEST_CASE(
    "[GIVEN] a restored store with an older configuration [WHEN] it is listed [THEN] the newest stays in "
    "force and confirmations count only once the store has it again",
    "[gateway][pattern: the store is restored from an older copy]")
{
    instance_fixture instance;
    instance.list(collection::configuration, 1, 50, {{"main", "7"}});
    CHECK(instance.view.has_store_caught_up());
    instance.list(collection::configuration, 2, 30, {{"main", "6"}});
    CHECK(instance.configuration() == 7);
    CHECK_FALSE(instance.view.has_store_caught_up());
    SECTION("the operator writes the newest again")
    {
        instance.change(collection::configuration, 2, 31, "main", "7");
        CHECK(instance.view.has_store_caught_up());
    }
    SECTION("the operator writes a newer one")
    {
        instance.change(collection::configuration, 2, 31, "main", "8");
        CHECK(instance.configuration() == 8);
        CHECK(instance.view.has_store_caught_up());
    }
    SECTION("the store is restored once more, without any configuration")
    {
        instance.list(collection::configuration, 3, 9, {});
        CHECK(instance.configuration() == 7);
        CHECK_FALSE(instance.view.has_store_caught_up());
    }
}

//! Guards against an instance, started after the restore, that confirms a configuration older than the one
//! its peers serve.
TEST_CASE("[GIVEN] an instance that knows only the restored store [WHEN] a peer knows a newer configuration "
          "[THEN] confirmations do not count until the store has it",
          "[gateway][pattern: the store is restored from an older copy]")
{
    instance_fixture peer;
    peer.list(collection::configuration, 1, 50, {{"main", "7"}});
    peer.settle();
    instance_fixture started;
    started.list(collection::configuration, 2, 30, {{"main", "6"}});
    CHECK_FALSE(started.is_confirmed_by_store(2, 30, "6"));
    SECTION("from a peer that has seen the restore")
    {
        peer.list(collection::configuration, 2, 30, {{"main", "6"}});
    }
    SECTION("from a peer that has not")
    {
        CHECK(peer.heartbeat().era == store_era(1));
    }
    SECTION("also when no witness seemed to be left at first")
    {
        started.view.on_no_witness_left();
        CHECK(started.is_confirmed_by_store(2, 30, "6"));
        started.core.freshness().confirm(seconds(1));
        CHECK(started.answers_confirmation());
    }
    CHECK_FALSE(started.view.on_heartbeat(peer.heartbeat()));
    CHECK_FALSE(started.view.has_store_caught_up());
    CHECK_FALSE(started.core.freshness().age(seconds(2)).has_value());
    started.settle();
    CHECK(started.view.has_current_configuration());
    CHECK_FALSE(started.is_confirmed_by_store(2, 30, "6"));
    CHECK(started.view.lacks_configuration_of(peer.heartbeat()));
    started.view.take_configuration(
        decode_collection(start, encode_collection(start, peer.view.configuration_in_force())));
    CHECK(started.configuration() == 7);
    CHECK_FALSE(started.view.lacks_configuration_of(peer.heartbeat()));
    CHECK_FALSE(started.view.has_store_caught_up());
    CHECK_FALSE(started.view.has_current_configuration());
    started.change(collection::configuration, 2, 31, "main", "7");
    CHECK(started.view.has_store_caught_up());
    CHECK(started.is_confirmed_by_store(2, 32, "7"));
}

//! Guards against a key that was revoked before a restore of the store and runs at an instance that started
//! after it: the first list that the instance got was taken for the newest configuration.
TEST_CASE("[GIVEN] an instance that has started in an era of the store [WHEN] no witness has answered yet "
          "[THEN] nothing confirms the configuration, and it confirms nothing to others",
          "[gateway][accounts][pattern: the store is restored from an older copy]")
{
    instance_fixture started;
    CHECK_FALSE(started.is_confirmed_by_store(2, 30, "6"));
    CHECK_FALSE(started.is_confirmed_by_store(2, 31, "6"));
    CHECK_FALSE(started.is_confirmed_by_instance(6));
    started.core.freshness().confirm(seconds(1));
    CHECK_FALSE(started.answers_confirmation());
    CHECK(started.heartbeat().witness == witness_quality::none);
    SECTION("nor does another one that has just started")
    {
        instance_fixture other;
        other.list(collection::configuration, 2, 30, {{"main", "6"}});
        CHECK(started.view.quality_of(other.heartbeat()) == witness_quality::none);
        CHECK_FALSE(started.view.on_heartbeat(other.heartbeat()));
        CHECK(started.view.floor().is_open());
    }
    SECTION("nor one that found no witness, until others would have told it better")
    {
        instance_fixture other;
        other.list(collection::configuration, 2, 30, {{"main", "6"}});
        other.view.on_no_witness_left();
        CHECK(started.view.quality_of(other.heartbeat()) == witness_quality::none);
        other.settle();
        CHECK(started.view.quality_of(other.heartbeat()) == witness_quality::settled);
    }
    SECTION("until witnesses have answered")
    {
        started.settle();
        CHECK(started.is_confirmed_by_store(2, 31, "6"));
        CHECK(started.answers_confirmation());
        CHECK(started.heartbeat().witness == witness_quality::settled);
    }
    SECTION("without eras the store loses nothing")
    {
        instance_fixture without_eras;
        CHECK(without_eras.is_confirmed_by_store(0, 30, "6"));
    }
}

//! Guards against an instance that was frozen or cut off while a key was revoked and the store was restored:
//! it must not take what it last knew for the newest configuration.
TEST_CASE("[GIVEN] an instance that runs while the store is restored [WHEN] it lists the new era [THEN] its "
          "quality as a witness tells whether it was up to date",
          "[gateway][accounts][pattern: the store is restored from an older copy]")
{
    const bool is_confirmed = GENERATE(false, true);
    instance_fixture instance;
    instance.list(collection::configuration, 1, 50, {{"main", "7"}});
    instance.settle();
    store::collection_update update{collection::configuration, true, {},
                                    object_version(30),        {},   store_era(2)};
    update.changes.push_back({{"main", "7", object_version(30)}, false});
    instance.view.apply(start, update, is_confirmed);
    CHECK(instance.view.floor().is_open());
    CHECK(instance.heartbeat().witness == (is_confirmed ? witness_quality::recent : witness_quality::lapsed));
    CHECK_FALSE(instance.is_confirmed_by_store(2, 31, "7"));
    CHECK_FALSE(instance.is_confirmed_by_instance(7));

    instance_fixture up_to_date;
    up_to_date.list(collection::configuration, 1, 51, {{"main", "8"}});
    up_to_date.settle();
    peer_heartbeat of_earlier_era;
    up_to_date.view.describe(of_earlier_era, true);
    CHECK(instance.view.quality_of(of_earlier_era) == witness_quality::recent);
    CHECK_FALSE(instance.view.on_heartbeat(of_earlier_era));
    instance.settle();
    CHECK_FALSE(instance.is_confirmed_by_store(2, 32, "7"));
    CHECK(instance.view.lacks_configuration_of(of_earlier_era));
}

//! Guards against requests with keys that are served by the word of a store that has lost the newest
//! configuration, directly or through a relay or a peer.
TEST_CASE(
    "[GIVEN] a confirmed configuration [WHEN] the store is restored with an older one [THEN] neither the "
    "store nor other instances confirm the one in force, and this instance confirms it to none",
    "[gateway][accounts][pattern: the store is restored from an older copy]")
{
    instance_fixture instance;
    CHECK_FALSE(instance.is_confirmed_by_store(1, 50, "7"));
    instance.settle();
    CHECK(instance.is_confirmed_by_store(1, 50, "7"));
    CHECK_FALSE(instance.answers_confirmation());
    instance.core.freshness().confirm(seconds(1));
    CHECK(instance.answers_confirmation());
    CHECK(instance.is_confirmed_by_instance(7));

    CHECK_FALSE(instance.is_confirmed_by_store(2, 30, "6"));
    instance.settle();
    CHECK_FALSE(instance.is_confirmed_by_store(2, 30, "6"));
    CHECK_FALSE(instance.is_confirmed_by_instance(6));
    CHECK_FALSE(instance.is_confirmed_by_instance(7));
    CHECK_FALSE(instance.answers_confirmation());
    SECTION("the store gets it back")
    {
        CHECK(instance.is_confirmed_by_store(2, 31, "7"));
        CHECK(instance.is_confirmed_by_instance(6));
        CHECK_FALSE(instance.is_confirmed_by_instance(8));
        CHECK(instance.answers_confirmation());
    }
    SECTION("the store gets it back and then an older one")
    {
        CHECK(instance.is_confirmed_by_store(2, 31, "7"));
        CHECK_FALSE(instance.is_confirmed_by_store(2, 32, "5"));
        CHECK(instance.view.has_store_caught_up());
        CHECK(instance.is_confirmed_by_instance(6));
    }
    SECTION("a late response of an earlier era has it")
    {
        CHECK(instance.view.on_era(store_era(3)));
        CHECK_FALSE(instance.is_confirmed_by_store(2, 31, "7"));
    }
    SECTION("an invalid object follows, with the revision of the one that was lost")
    {
        CHECK_FALSE(instance.is_confirmed_by_store(2, 50, "invalid"));
        CHECK_FALSE(instance.view.has_current_configuration());
    }
}

//! Guards against ordinary delays between peers that would make confirmations invalid.
TEST_CASE("[GIVEN] a peer of the same era [WHEN] it is ahead by one configuration [THEN] confirmations count",
          "[gateway]")
{
    instance_fixture peer;
    instance_fixture instance;
    const auto era = GENERATE(0U, 2U);
    peer.list(collection::configuration, era, 50, {{"main", "8"}});
    instance.list(collection::configuration, era, 49, {{"main", "7"}});
    peer.settle();
    instance.settle();
    CHECK_FALSE(instance.view.on_heartbeat(peer.heartbeat()));
    CHECK_FALSE(instance.view.lacks_configuration_of(peer.heartbeat()));
    CHECK(instance.view.has_store_caught_up());
}

//! Guards against instances that stay in an earlier era because the store does not answer them, or that take
//! over the state of one that does.
TEST_CASE("[GIVEN] instances of two eras [WHEN] they hear of each other [THEN] the later era wins",
          "[gateway][pattern: the store is restored from an older copy]")
{
    instance_fixture behind;
    instance_fixture ahead;
    behind.list(collection::upstreams, 1, 90, {{"a", "ready"}, {"b", "ready"}});
    ahead.list(collection::upstreams, 2, 30, {{"a", "ready"}});
    CHECK(behind.view.on_heartbeat(ahead.heartbeat()));
    CHECK(behind.view.era() == store_era(2));
    CHECK_FALSE(ahead.view.on_heartbeat(behind.heartbeat()));

    const auto of = [](const instance_fixture& one) { return one.view.mirror(collection::upstreams); };
    CHECK(ahead.heartbeat().changed_at.at(collection::upstreams) > of(behind).version());
    CHECK_FALSE(behind.heartbeat().changed_at.at(collection::upstreams) > of(ahead).version());
    const auto encoded = encode_version(of(behind).version());
    CHECK(encoded == "90.1");
    const auto update = decode_collection(
        start,
        encode_collection(start, of(ahead).changes_since(collection::upstreams, parse_version(encoded))));
    CHECK(behind.view.apply(start, update));
    CHECK(of(behind).version() == of(ahead).version());
    CHECK(behind.usable() == 2);
}

//! Guards against messages that builds without eras cannot exchange with this one.
TEST_CASE("[GIVEN] a store without eras [WHEN] messages are encoded [THEN] they have no era", "[gateway]")
{
    instance_fixture instance;
    instance.list(collection::configuration, 0, 5, {{"main", "7"}});
    peer_heartbeat sent;
    instance.view.describe(sent);
    CHECK(encode_peer_heartbeat(sent) == R"({"members":[],"changed_at":{"configuration":5}})");
    CHECK(encode_version({{}, object_version(41)}) == "41");
    CHECK(parse_version("41") == store::collection_version{{}, object_version(41)});
    for (const auto* text : {"41.", ".2", "41.x", "41.2.3"}) {
        CHECK_THROWS(parse_version(text));
    }
    CHECK_THROWS(
        decode_peer_heartbeat(R"({"members":[],"changed_at":{},"witness":"sure","confirmed":true})"));
    const relay_response relayed{true, {}, store_era(3)};
    CHECK(decode_relay_response(start, encode_relay_response(start, relayed)).era == store_era(3));
    CHECK(decode_relay_response(start, R"({"is_source":true,"updates":[]})").era == store_era());
}
