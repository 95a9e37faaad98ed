#include <future>
#include <stdexcept>
#include <thread>

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
    boost::asio::post(context, [&context] { context.stop(); });
    run_guarded(context, "test");
    CHECK(handled == 2);
}

//! Guards against a thread that ends when it has nothing to do, so that an instance that watched the store
//! through another one never watches it itself again.
TEST_CASE(
    "[GIVEN] a thread that runs out of work [WHEN] other threads give it work again [THEN] it still runs",
    "[global][pattern: the relay of a failure domain ends]")
{
    boost::asio::io_context context;
    std::promise<void> ended;
    std::thread thread([&] {
        run_guarded(context, "test");
        ended.set_value();
    });
    std::promise<void> first;
    boost::asio::post(context, [&first] { first.set_value(); });
    first.get_future().wait();
    const auto has_ended = ended.get_future().wait_for(std::chrono::milliseconds(300));
    context.stop();
    thread.join();
    CHECK(has_ended == std::future_status::timeout);
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
