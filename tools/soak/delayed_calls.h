#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornhill::soak {
//! Calls functions later on the thread of an I/O context. Calls that are due after `stop` are not made.
class delayed_calls
{
public:
    explicit delayed_calls(boost::asio::io_context& context)
        : context(context)
    {
    }

    void run_after(std::chrono::milliseconds time, std::function<void()> callback)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, time);
        timer->async_wait(
            [this, timer, callback = std::move(callback)](const boost::system::error_code& failure) {
                if (!failure && !this->is_stopped) {
                    callback();
                }
            });
    }
    void stop() { this->is_stopped = true; }

private:
    boost::asio::io_context& context;
    bool is_stopped = false;
};
} // namespace buckthornhill::soak
