#include "global/periodic_timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornhill {
struct periodic_timer::implementation : public std::enable_shared_from_this<implementation>
{
    implementation(boost::asio::io_context& context, duration period, std::function<void()> callback)
        : timer(context)
        , interval(period)
        , hook(std::move(callback))
    {
    }

    void schedule()
    {
        this->timer.expires_after(this->interval);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& failure) {
            if (failure || self->is_stopped) {
                return;
            }
            try {
                self->hook();
            } catch (...) {
                self->schedule_next();
                throw;
            }
            self->schedule_next();
        });
    }

    void schedule_next()
    {
        if (!this->is_stopped) {
            this->schedule();
        }
    }

    boost::asio::steady_timer timer;
    duration interval;
    std::function<void()> hook;
    bool is_stopped = false;
};

periodic_timer::periodic_timer(boost::asio::io_context& context, duration interval,
                               std::function<void()> hook)
    : state(std::make_shared<implementation>(context, interval, std::move(hook)))
{
}

periodic_timer::~periodic_timer()
{
    this->stop();
}

void periodic_timer::start()
{
    this->state->schedule();
}

void periodic_timer::stop()
{
    this->state->is_stopped = true;
    this->state->timer.cancel();
}
} // namespace buckthornhill
