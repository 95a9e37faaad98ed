#include "global/guarded_run.h"

#include <exception>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "global/log.h"

namespace buckthornhill {
void run_guarded(boost::asio::io_context& context, std::string_view part)
{
    //! NOTE Work for a context that is idle at the moment comes from other threads.
    const auto keep_running = boost::asio::make_work_guard(context);
    for (bool is_done = false; !is_done;) {
        try {
            context.run();
            is_done = true;
        } catch (const std::exception& failure) {
            log::event(part, "handler_failed", {{"detail", failure.what()}});
        }
    }
}
} // namespace buckthornhill
