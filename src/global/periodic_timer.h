#pragma once

#include <functional>
#include <memory>

#include "global/units.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill {
//! Calls a hook periodically on the context's thread; the interval counts from the end of a call.
//! Nothing is called after `stop` or the end of the timer, which may happen inside the hook.
class periodic_timer
{
public:
    periodic_timer(boost::asio::io_context& context, duration interval, std::function<void()> hook);
    ~periodic_timer();
    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;

    void start();
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> state;
};
} // namespace buckthornhill
