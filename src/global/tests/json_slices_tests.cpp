#include <catch2/catch.hpp>

#include "global/json_reader.h"
#include "global/json_slices.h"

using namespace buckthornhill;

TEST_CASE("[GIVEN] a JSON text [WHEN] it is split [THEN] brackets and separators in strings don't count",
          "[global]")
{
    const auto members = split_json_object(R"( {"a" : [1, {"b": "]},{"}], "c":"x\"y" , "d":{} } )");
    REQUIRE(members.size() == 3);
    CHECK(members.at("a") == R"([1, {"b": "]},{"}])");
    CHECK(members.at("c") == R"("x\"y")");
    CHECK(members.at("d") == "{}");
    const auto elements = split_json_array(members.at("a"));
    REQUIRE(elements.size() == 2);
    CHECK(elements[0] == "1");
    CHECK(split_json_object("{}").empty());
    CHECK(split_json_array(" [ ] ").empty());
}

TEST_CASE("[GIVEN] a text that is no single object [WHEN] it is split [THEN] an error is thrown",
          "[global][pattern: malformed messages]")
{
    for (const auto* text :
         {"", "{", "[]", "{\"a\":1", "{\"a\":[}", "{\"a\"}", "{a:1}", "{\"a\":\"x}", "{]}", "{\"a\":}}"}) {
        CHECK_THROWS_AS(split_json_object(text), json_error);
    }
    CHECK_THROWS_AS(split_json_array("{}"), json_error);
}
