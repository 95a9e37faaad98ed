#include <catch2/catch.hpp>

#include "attempt_checker.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using std::chrono::milliseconds;

namespace {
const time_point start{std::chrono::seconds(1000)};

void run_at(attempt_checker& checker, int request, int upstreams)
{
    const auto id = std::to_string(request);
    checker.on_sent(start, id, milliseconds(1000));
    for (int i = 0; i < upstreams; ++i) {
        checker.on_arrival(start, id, "u" + std::to_string(i), true, milliseconds(1000));
    }
}
} // namespace

TEST_CASE("[GIVEN] requests that run at more upstreams than allowed [WHEN] there are more than three [THEN] "
          "the checker "
          "reports it, but not for upstreams that were lost",
          "[soak]")
{
    attempt_checker checker({});
    for (int i = 0; i < 3; ++i) {
        run_at(checker, i, 3);
    }
    run_at(checker, 10, 2);
    CHECK(checker.violations().empty());
    run_at(checker, 4, 3);
    CHECK(checker.violations().size() == 1);
    checker.on_upstream_lost("u1");
    CHECK(checker.violations().empty());
}

TEST_CASE("[GIVEN] arrivals with more time than the caller had [WHEN] they are a fifth of all [THEN] the "
          "checker reports "
          "it",
          "[soak]")
{
    attempt_checker checker({});
    for (int i = 0; i < 80; ++i) {
        run_at(checker, i, 1);
    }
    for (int i = 100; i < 120; ++i) {
        const auto id = std::to_string(i);
        checker.on_sent(start, id, milliseconds(1000));
        checker.on_arrival(start + milliseconds(10), id, "u1", true, milliseconds(1501));
    }
    CHECK(checker.violations().empty());
    checker.on_sent(start, "late", milliseconds(1000));
    checker.on_arrival(start, "late", "u1", false, milliseconds(1000));
    checker.on_arrival(start + milliseconds(600), "late", "u2", true, milliseconds(950));
    CHECK(checker.violations().size() == 1);
}
