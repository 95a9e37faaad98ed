#include <random>

#include <catch2/catch.hpp>

#include "http/body_coding.h"
#include "http/http_errors.h"

using namespace buckthornhill::http;

namespace {
constexpr std::size_t bound = 1024UL * 1024;

std::string text_of(std::size_t records)
{
    std::string text;
    for (std::size_t i = 0; i < records; ++i) {
        text += R"(["front-north-)" + std::to_string(i) + R"(",1779999586007,2,)" +
                std::to_string(90 + i % 7) + "],";
    }
    return text;
}
} // namespace

TEST_CASE("[GIVEN] bodies of any size [WHEN] they are compressed and decompressed [THEN] they are unchanged",
          "[http]")
{
    for (const std::size_t records : {0, 1, 12, 13, 56, 5000}) {
        const auto text = text_of(records);
        header_list headers;
        auto body = text;
        compress_body(headers, body);
        CHECK(decompressed_body(headers, body, bound) == text);
    }
}

TEST_CASE("[GIVEN] a heartbeat of a large fleet [WHEN] it is compressed [THEN] it takes less than half",
          "[http]")
{
    header_list headers;
    auto body = text_of(56);
    const auto plain = body.size();
    compress_body(headers, body);
    CHECK(body.size() < plain / 2);
}

TEST_CASE("[GIVEN] a small body that decompresses to a huge one [WHEN] it is read [THEN] it is refused",
          "[http]")
{
    header_list headers;
    std::string body(64UL * bound, 'x');
    compress_body(headers, body);
    REQUIRE(body.size() < bound);
    CHECK_THROWS_AS(decompressed_body(headers, body, bound), http_error);
}

TEST_CASE(
    "[GIVEN] a compressed body [WHEN] it is truncated or changed anywhere [THEN] it is an error or unchanged",
    "[http]")
{
    std::mt19937_64 random(3);
    const auto text = text_of(40);
    header_list headers;
    auto body = text;
    compress_body(headers, body);
    for (std::size_t cut = 0; cut < body.size(); ++cut) {
        CHECK_THROWS_AS(decompressed_body(headers, body.substr(0, cut), bound), http_error);
    }
    for (int i = 0; i < 2000; ++i) {
        auto corrupted = body;
        auto& byte = corrupted[random() % corrupted.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (random() % 8)));
        std::string plain = text;
        try {
            plain = decompressed_body(headers, corrupted, bound);
        } catch (const http_error&) {
            SUCCEED();
        }
        CHECK(plain == text);
    }
    CHECK_THROWS_AS(decompressed_body({{"Content-Encoding", "br"}}, body, bound), http_error);
}
