#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "global/guarded_run.h"
#include "global/periodic_timer.h"

using namespace buckthornhill;

TEST_CASE("[GIVEN] handlers of which one fails [WHEN] the context runs [THEN] the others run too", "[global]")
{
    boost::asio::io_context context;
    int handled = 0;
    boost::asio::post(context, [&handled] { ++handled; });
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&handled] { ++handled; });
    run_guarded(context, "test");
    CHECK(handled == 2);
}

TEST_CASE("[GIVEN] a timer whose work fails once [WHEN] time passes [THEN] it goes on", "[global]")
{
    boost::asio::io_context context;
    int ticks = 0;
    periodic_timer timer(context, std::chrono::milliseconds(1), [&] {
        if (++ticks == 1) {
            throw std::runtime_error("unexpected");
        }
        context.stop();
    });
    timer.start();
    run_guarded(context, "test");
    CHECK(ticks == 2);
}
