#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "global/log.h"

using namespace buckthornhill;

namespace {
//! Replaces standard output by a pipe that is not read until `read_all`.
class stalled_reader
{
public:
    stalled_reader()
        : saved_stdout(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe2(this->pipe_ends.data(), O_CLOEXEC) == 0);
        dup2(this->pipe_ends[1], STDOUT_FILENO);
        close(this->pipe_ends[1]);
    }
    ~stalled_reader() { close(this->pipe_ends[0]); }
    stalled_reader(const stalled_reader&) = delete;
    stalled_reader& operator=(const stalled_reader&) = delete;

    //! Restores standard output and returns what was written to the pipe.
    std::string read_all()
    {
        std::string text;
        std::array<char, 4096> chunk{};
        //! NOTE The pipe's end comes once nothing holds its writing side, which the log's thread may do
        //! still.
        this->restore_output();
        for (auto count = read(this->pipe_ends[0], chunk.data(), chunk.size()); count > 0;
             count = read(this->pipe_ends[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    void restore_output()
    {
        dup2(this->saved_stdout, STDOUT_FILENO);
        close(this->saved_stdout);
    }

    int saved_stdout;
    std::array<int, 2> pipe_ends{};
};
} // namespace

TEST_CASE(
    "[GIVEN] a reader of standard output that is stuck [WHEN] much is logged [THEN] nobody waits for it",
    "[log]")
{
    constexpr int parts = 40;
    constexpr int lines_per_part = 400;
    const std::string filler(200, 'x');
    stalled_reader reader;
    log::initialize({log::severity::info, true, true});
    for (int part = 0; part < parts; ++part) {
        for (int line = 0; line < lines_per_part; ++line) {
            log::event("part" + std::to_string(part), "line", {{"filler", filler}});
        }
    }
    //! Reaching this line shows that logging did not block: 3 MB were logged, and a pipe holds about 64 KB.
    const auto text = reader.read_all();
    log::flush();
    log::initialize({});
    CHECK(text.find("\"event\":\"line\"") != std::string::npos);
    CHECK(text.size() < std::size_t{parts} * lines_per_part * filler.size());
}
