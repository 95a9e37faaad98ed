#include <filesystem>

#include <catch2/catch.hpp>

#include "trace_replay.h"

using buckthornhill::node::testing::replay_trace;

SCENARIO("recorded traces end as stated", "[trace]")
{
    std::size_t traces = 0;
    for (const auto& file : std::filesystem::directory_iterator(TEST_DATA_DIR)) {
        // [GIVEN] A trace [WHEN] it is replayed through the daemon's decisions
        const auto differences = replay_trace(file.path().string());
        // [THEN] Every action is the stated one
        std::string text;
        for (const auto& difference : differences) {
            text += difference + "\n";
        }
        INFO(file.path().filename().string() << "\n" << text);
        CHECK(differences.empty());
        ++traces;
    }
    REQUIRE(traces >= 12);
}
