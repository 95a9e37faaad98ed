#include <catch2/catch.hpp>

#include "lists/list_codec.h"
#include "lists/list_edit.h"
#include "lists/list_state.h"
#include "lists/lists_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::lists;

namespace {
const std::string plans_body = R"({"plans":["gold"],"customers":[],"calls":[]})";
}

SCENARIO("a version never replaces a higher one", "[lists]")
{
    // [GIVEN] Version 5 is active
    list_state state;
    REQUIRE(state.offer(document_name::plans, object_version(5), plans_body) == offer_result::accepted);
    // [WHEN] Older, equal and malformed versions are offered [THEN] none is applied
    REQUIRE(state.offer(document_name::plans, object_version(4), R"({"plans":[]})") == offer_result::stale);
    REQUIRE(state.offer(document_name::plans, object_version(5), R"({"plans":[]})") ==
            offer_result::already_known);
    REQUIRE(state.offer(document_name::plans, object_version(6), "nonsense") == offer_result::rejected);
    REQUIRE(state.rejection_reason().find("plans") != std::string::npos);
    REQUIRE(state.version_of(document_name::plans) == object_version(5));
    REQUIRE(state.plans().plans.size() == 1);
}

SCENARIO("an edit tolerates a lost response", "[lists]")
{
    // [GIVEN] An edit on version 3 whose first response is lost
    list_edit edit(object_version(3), {"e1", "ana"}, 4);
    edit.on_write_response(write_response::lost, {});
    REQUIRE(edit.step() == edit_step::read_back);
    GIVEN("the write took effect and another edit followed")
    {
        auto body = with_edit(with_edit(plans_body, {"e1", "ana"}), {"e2", "ben"});
        edit.on_read_back(body, object_version(5));
        REQUIRE(edit.result() == edit_result::applied);
    }
    GIVEN("the write did not take effect")
    {
        edit.on_read_back(plans_body, object_version(3));
        REQUIRE(edit.step() == edit_step::write);
        edit.on_write_response(write_response::accepted, object_version(4));
        REQUIRE(edit.result() == edit_result::applied);
        REQUIRE(edit.applied_version() == object_version(4));
    }
    GIVEN("another operator's edit was written first")
    {
        edit.on_read_back(with_edit(plans_body, {"e2", "ben"}), object_version(4));
        REQUIRE(edit.result() == edit_result::conflict);
    }
    GIVEN("the store does not answer")
    {
        for (int i = 0; i < 4; ++i) {
            REQUIRE(edit.step() == edit_step::read_back);
            edit.on_read_back(std::nullopt, {});
        }
        REQUIRE(edit.result() == edit_result::unknown);
    }
}

//! Guards against one odd entry of another writer that hides the whole list, or whose address ends a round of
//! messages.
SCENARIO("odd elements in the list of instances are left out", "[lists]")
{
    // [GIVEN] A list in which one entry and one upstream are sound
    const std::string places = R"("region":"r","domain":"d",)";
    const std::string entry =
        R"({"id":"e1",)" + places + R"("peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2"})";
    const std::string upstream =
        R"({"id":"u1","service":"s",)" + places + R"("address":"127.0.0.1:3","slots":4})";
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{entry, "7"},
                                                          {entry, "{}"},
                                                          {"\"e1\"", "\"\""},
                                                          {"127.0.0.1:1", "nowhere"},
                                                          {"127.0.0.1:2", "127.0.0.1:70000"},
                                                          {upstream, "null"},
                                                          {"127.0.0.1:3", ":"},
                                                          {"\"slots\":4", "\"slots\":\"many\""}}) {
        const auto odd_of = [&from = from, &to = to](std::string text) {
            const auto at = text.find(from);
            return at == std::string::npos ? std::string() : text.replace(at, from.size(), to) + ",";
        };
        INFO(from << " -> " << to);
        // [WHEN] An odd one stands before it [THEN] the sound ones hold, and the list says why one is missing
        std::string body = R"({"entries":[)";
        body.append(odd_of(entry)).append(entry).append(R"(],"upstreams":[)");
        body.append(odd_of(upstream)).append(upstream).append("]}");
        const auto list = parse_instances(body);
        REQUIRE(list.entries.size() == 1);
        REQUIRE(list.upstreams.size() == 1);
        REQUIRE(list.unreadable.size() == 1);
        REQUIRE(list.unreadable[0].size() > 5);
    }
    REQUIRE_THROWS_AS(parse_instances(R"({"entries":7})"), lists_error);
}
