#include <catch2/catch.hpp>

#include "store/list_cursor.h"

using namespace buckthornhill::store;

namespace {
list_page page_up_to(const std::string& name, bool has_more = true)
{
    list_page page;
    page.has_more = has_more;
    page.continues_after = name;
    return page;
}
} // namespace

//! Guards against a list that a store repeats without end.
TEST_CASE("[GIVEN] a list in pages [WHEN] a page leads nowhere new [THEN] the list is stuck",
          "[store][pattern: odd names in a list of several pages]")
{
    list_cursor cursor;
    CHECK(cursor.is_at_start());
    CHECK(cursor.advance(page_up_to("b")) == list_cursor::step::next_page);
    CHECK_FALSE(cursor.is_at_start());
    CHECK(cursor.after() == "b");
    CHECK(cursor.advance(page_up_to("d")) == list_cursor::step::next_page);
    CHECK(cursor.after() == "d");
    SECTION("the same page")
    {
        CHECK(cursor.advance(page_up_to("d")) == list_cursor::step::stuck);
    }
    SECTION("an earlier page")
    {
        CHECK(cursor.advance(page_up_to("b")) == list_cursor::step::stuck);
    }
    SECTION("no name to continue behind")
    {
        CHECK(cursor.advance(page_up_to("")) == list_cursor::step::stuck);
    }
    SECTION("the last page, which may hold only what was there before")
    {
        CHECK(cursor.advance(page_up_to("d", false)) == list_cursor::step::finished);
        CHECK(cursor.advance(page_up_to("", false)) == list_cursor::step::finished);
    }
    SECTION("the list is read again")
    {
        cursor.reset();
        CHECK(cursor.is_at_start());
        CHECK(cursor.advance(page_up_to("b")) == list_cursor::step::next_page);
    }
}

//! Guards against an order of names that the store does not share, such as that of another encoding.
TEST_CASE("[GIVEN] a list in an order of the store's own [WHEN] each page is new [THEN] the list continues",
          "[store][pattern: odd names in a list of several pages]")
{
    list_cursor cursor;
    for (const auto* name : {"z", "a", "m"}) {
        CHECK(cursor.advance(page_up_to(name)) == list_cursor::step::next_page);
    }
    CHECK(cursor.advance(page_up_to("b", false)) == list_cursor::step::finished);
}
