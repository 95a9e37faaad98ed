#include <algorithm>

#include <catch2/catch.hpp>

#include "captured_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using store::collection;

namespace {
//! A view whose configurations are version numbers; other texts are invalid.
struct view_fixture
{
    view_fixture()
    {
        this->dialect.configuration_name = "main";
        this->dialect.decode_configuration = [](const std::string& text) {
            if (text.empty() || text.front() < '0' || text.front() > '9') {
                throw gateway_error("invalid");
            }
            routing::routing_configuration configuration;
            configuration.version = routing::configuration_version(std::stoull(text));
            return configuration;
        };
    }

    //! The store's object has a new version unless `text` is the same as before.
    void receive(const std::string& text, bool is_snapshot, bool is_from_store = true)
    {
        this->version += text == this->latest ? 0 : 1;
        this->latest = text;
        store::collection_update update;
        update.is_snapshot = is_snapshot;
        update.version = object_version(this->version);
        update.changes = {{{"main", text, object_version(this->version)}, false}};
        update.asked_at = std::chrono::seconds(is_from_store ? 1 : 0);
        this->view.apply({}, update);
    }

    gateway_dialect dialect;
    proxy::proxy_core core{instance_id("i1"), {}, {}, [] { return std::uint64_t{1}; }};
    fleet_view view{this->dialect, this->core, {}};
    std::uint64_t version = 0;
    std::string latest;
};
} // namespace

//! Guards against an invalid configuration that stops all requests with keys, and against one that hides a
//! valid version before it, in which a key may have been revoked.
TEST_CASE(
    "[GIVEN] a configuration in force [WHEN] an invalid one follows [THEN] it is current unless versions "
    "may have been missed",
    "[gateway][accounts]")
{
    view_fixture fixture;
    CHECK_FALSE(fixture.view.has_current_configuration());
    fixture.receive("1", true);
    CHECK(fixture.view.has_current_configuration());
    fixture.receive("broken", false);
    CHECK(fixture.view.has_current_configuration());
    fixture.receive("broken", true);
    CHECK(fixture.view.has_current_configuration());
    fixture.receive("broken again", true);
    CHECK_FALSE(fixture.view.has_current_configuration());
    fixture.receive("2", false);
    CHECK(fixture.view.has_current_configuration());
    fixture.receive("broken for a peer", false, false);
    CHECK_FALSE(fixture.view.has_current_configuration());
}

//! Guards against a store that went back to an older configuration and confirms keys that it does not know
//! of.
TEST_CASE(
    "[GIVEN] a configuration in force [WHEN] the store has an older one or none [THEN] it is not current",
    "[gateway][accounts]")
{
    view_fixture fixture;
    fixture.receive("2", true);
    fixture.receive("1", true);
    CHECK(fixture.core.routes().version() == routing::configuration_version(2));
    CHECK_FALSE(fixture.view.has_current_configuration());
    fixture.receive("2", false);
    CHECK(fixture.view.has_current_configuration());
    store::collection_update nothing;
    nothing.is_snapshot = true;
    nothing.version = object_version(99);
    fixture.view.apply({}, nothing);
    CHECK_FALSE(fixture.view.has_current_configuration());
}

//! Guards against an odd entry beside the configuration that makes all instances refuse requests with keys,
//! since none can confirm the one in force.
TEST_CASE("[GIVEN] an invalid object beside the configuration [WHEN] the collection is listed [THEN] the "
          "configuration in force is current",
          "[gateway][accounts]")
{
    const auto* name = GENERATE("a&x", "z x");
    view_fixture fixture;
    store::collection_update update;
    update.is_snapshot = true;
    update.asked_at = std::chrono::seconds(1);
    update.version = object_version(7);
    update.changes = {{{"main", "1", object_version(5)}, false}, {{name, "odd", object_version(6)}, false}};
    std::ranges::sort(update.changes, {}, [](const auto& change) { return change.object.name; });
    const bool is_listed_twice = GENERATE(false, true);
    if (is_listed_twice) {
        fixture.view.apply({}, update);
        update.version = object_version(8);
    }
    fixture.view.apply({}, update);
    CHECK(fixture.view.has_current_configuration());
    CHECK(fixture.view.is_confirmed_by(update));
}

//! Guards against a configuration of another writer that comes into force, and against one that keeps the
//! operator's in force after its removal.
TEST_CASE("[GIVEN] a valid object beside the configuration [WHEN] it is newer [THEN] it is no configuration",
          "[gateway][accounts]")
{
    view_fixture fixture;
    store::collection_update update;
    update.is_snapshot = true;
    update.version = object_version(7);
    update.changes = {{{"main", "1", object_version(5)}, false}, {{"main x", "2", object_version(6)}, false}};
    fixture.view.apply({}, update);
    CHECK(fixture.core.routes().version() == routing::configuration_version(1));
    CHECK(fixture.view.has_current_configuration());
    update.version = object_version(8);
    update.changes.erase(update.changes.begin());
    fixture.view.apply({}, update);
    CHECK_FALSE(fixture.view.has_current_configuration());
}

//! Guards against a log that grows with the number of odd entries on each pass over a list.
TEST_CASE(
    "[GIVEN] many entries that cannot be decoded [WHEN] they are listed or change [THEN] one line tells how "
    "many",
    "[gateway][pattern: malformed messages]")
{
    constexpr int odd_count = 300;
    view_fixture fixture;
    fixture.dialect.decode_upstream = [](const std::string&, const std::string&) -> fleet::upstream_entry {
        throw gateway_error("odd");
    };
    fixture.dialect.store.extract_body = [](const std::string&) -> std::string {
        throw gateway_error("odd");
    };
    const testing::captured_log log;
    for (const bool is_snapshot : {true, false}) {
        for (const auto which : {collection::upstreams, collection::instances}) {
            store::collection_update update;
            update.which = which;
            update.is_snapshot = is_snapshot;
            update.version = object_version(is_snapshot ? 1 : 2);
            for (int i = 0; i < odd_count; ++i) {
                update.changes.push_back({{"odd" + std::to_string(i), "7", update.version}, false});
            }
            fixture.view.apply({}, update);
        }
    }
    CHECK(log.count("upstream_entry_unreadable") == 2);
    CHECK(fixture.view.registered_instances().empty());
    CHECK(log.count("registration_unreadable") == 1);
    CHECK(log.count("\"count\":300") == 3);
}
