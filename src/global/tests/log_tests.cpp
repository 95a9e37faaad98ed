#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "global/log.h"

using namespace buckthornhill;

namespace {
//! Takes the place of standard output with a pipe that nobody reads until `read_all`.
class stuck_reader
{
public:
    stuck_reader()
        : saved(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe2(this->ends.data(), O_CLOEXEC) == 0);
        dup2(this->ends[1], STDOUT_FILENO);
        close(this->ends[1]);
    }
    ~stuck_reader() { close(this->ends[0]); }
    stuck_reader(const stuck_reader&) = delete;
    stuck_reader& operator=(const stuck_reader&) = delete;

    //! Standard output is as before; what was written comes back.
    std::string read_all()
    {
        std::string text;
        std::array<char, 4096> chunk{};
        //! NOTE The pipe's end comes once nothing holds its writing side, which the log's thread may do
        //! still.
        this->restore_output();
        for (auto count = read(this->ends[0], chunk.data(), chunk.size()); count > 0;
             count = read(this->ends[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    void restore_output()
    {
        dup2(this->saved, STDOUT_FILENO);
        close(this->saved);
    }

    int saved;
    std::array<int, 2> ends{};
};
} // namespace

TEST_CASE(
    "[GIVEN] a reader of standard output that is stuck [WHEN] much is logged [THEN] nobody waits for it",
    "[log]")
{
    constexpr int parts = 40;
    constexpr int lines_a_part = 400;
    const std::string filler(200, 'x');
    stuck_reader reader;
    log::initialize({log::severity::info, true, true});
    for (int part = 0; part < parts; ++part) {
        for (int line = 0; line < lines_a_part; ++line) {
            log::event("part" + std::to_string(part), "line", {{"filler", filler}});
        }
    }
    //! Getting here is the point: 3 MB were logged, and a pipe holds some 64 KB.
    const auto text = reader.read_all();
    log::flush();
    log::initialize({});
    CHECK(text.find("\"event\":\"line\"") != std::string::npos);
    CHECK(text.size() < std::size_t{parts} * lines_a_part * filler.size());
}
