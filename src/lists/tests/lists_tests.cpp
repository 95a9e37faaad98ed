#include <catch2/catch.hpp>

#include "lists/list_codec.h"
#include "lists/list_edit.h"
#include "lists/list_state.h"

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
