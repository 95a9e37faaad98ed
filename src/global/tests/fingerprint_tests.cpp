#include <catch2/catch.hpp>

#include "global/fingerprint.h"

using namespace buckthornhill;

TEST_CASE(
    "[GIVEN] the same parts [WHEN] they are digested [THEN] the fingerprint is the same, and its text too",
    "[global]")
{
    const auto print = fingerprint_of({"GET", "/a?b=1", "caller", "body"});
    CHECK(print == fingerprint_of({"GET", "/a?b=1", "caller", "body"}));
    CHECK(fingerprint::parse(print.str()) == print);
    CHECK(print.str().size() == 32);
    //! Instances compare digests, so they must not differ between machines.
    CHECK(fingerprint_of({"GET", "/a"}).str() == "82e9cbc492dc9c2afbdeb1a8e8f9d827");
}

TEST_CASE("[GIVEN] parts that differ in one byte or in where they end [WHEN] they are digested [THEN] the "
          "fingerprints differ",
          "[global]")
{
    const auto print = fingerprint_of({"GET", "/a", "caller", "body"});
    CHECK(print != fingerprint_of({"POST", "/a", "caller", "body"}));
    CHECK(print != fingerprint_of({"GET", "/a?", "caller", "body"}));
    CHECK(print != fingerprint_of({"GET", "/a", "other", "body"}));
    CHECK(print != fingerprint_of({"GET", "/a", "caller", "Body"}));
    CHECK(print != fingerprint_of({"GET", "/a", "callerb", "ody"}));
    CHECK(print != fingerprint_of({"GET", "/a", "", "callerbody"}));
}

TEST_CASE("[GIVEN] a text that is no fingerprint [WHEN] it is parsed [THEN] there is none", "[global]")
{
    CHECK_FALSE(fingerprint::parse(""));
    CHECK_FALSE(fingerprint::parse("00"));
    CHECK_FALSE(fingerprint::parse("0123456789abcdef0123456789abcdeg"));
    CHECK_FALSE(fingerprint::parse("0123456789abcdef 123456789abcdef"));
}
