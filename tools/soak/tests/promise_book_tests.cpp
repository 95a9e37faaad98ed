#include <catch2/catch.hpp>

#include "promise_book.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using std::chrono::milliseconds;

namespace {
const time_point start{std::chrono::seconds(1000)};

time_point at(int ms)
{
    return start + milliseconds(ms);
}

//! A request at `sent_ms` that is run and answered 20 ms later.
void serve(promise_book& book, const std::string& id, int sent_ms, const std::string& upstream = "u1",
           const std::string& service = "s1")
{
    book.on_sent(at(sent_ms), id, "g1", false);
    book.on_run(at(sent_ms + 10), id, upstream, service);
    book.on_answer(at(sent_ms + 20), id, answer_kind::whole);
}
} // namespace

TEST_CASE("[GIVEN] a run without faults [WHEN] it is judged [THEN] no promise is broken", "[soak]")
{
    promise_book book({});
    serve(book, "1", 0);
    book.on_recovered(at(10));
    serve(book, "2", 20);
    CHECK(book.violations().empty());
}

TEST_CASE("[GIVEN] each promise [WHEN] it is broken [THEN] the book says so", "[soak]")
{
    promise_book book({});
    SECTION("two runs of what may run once")
    {
        serve(book, "1", 0);
        book.on_run(at(30), "1", "u2", "s1");
    }
    SECTION("a refusal of what has run")
    {
        serve(book, "1", 0);
        book.on_answer(at(40), "1", answer_kind::refused);
    }
    SECTION("a run after a refusal")
    {
        book.on_sent(at(0), "1", "g1", true);
        book.on_answer(at(1), "1", answer_kind::refused);
        book.on_run(at(500), "1", "u1", "s1");
    }
    SECTION("a spoilt success")
    {
        book.on_sent(at(0), "1", "g1", true);
        book.on_answer(at(1), "1", answer_kind::spoilt);
    }
    SECTION("a run that nobody asked for")
    {
        book.on_run(at(0), "1", "u1", "s1");
    }
    SECTION("a request to an upstream that left")
    {
        book.on_leaving(at(0), "u1");
        serve(book, "1", 2000);
    }
    SECTION("a configuration that is not in force")
    {
        book.on_configuration(at(0), "s1");
        book.on_configuration(at(5000), "s2");
        serve(book, "1/moving/", 7001, "u1", "s1");
    }
    SECTION("a request cut off by a planned stop")
    {
        book.on_sent(at(0), "1", "g1", false);
        book.on_planned_stop(at(10), "g1");
        book.on_run(at(15), "1", "u1", "s1");
        book.on_answer(at(20), "1", answer_kind::broken);
    }
    SECTION("no recovery")
    {
        book.on_recovered(at(0));
        book.on_sent(at(1), "1", "g1", true);
        book.on_answer(at(2), "1", answer_kind::refused);
    }
    CHECK(book.violations().size() == 1);
}

TEST_CASE("[GIVEN] bounds in time [WHEN] they are kept, or trouble is near [THEN] nothing is broken",
          "[soak]")
{
    promise_book book({});
    book.on_configuration(at(0), "s1");
    book.on_configuration(at(5000), "s2");
    serve(book, "1/moving/", 6900, "u1", "s1");
    book.on_leaving(at(20000), "u2");
    serve(book, "2", 21900, "u2");
    CHECK(book.violations().empty());

    serve(book, "3", 23000, "u2");
    CHECK(book.violations().size() == 1);
    book.on_trouble(at(16500), at(17000));
    CHECK(book.violations().empty());
}
