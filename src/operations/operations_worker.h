#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http_types.h"

namespace boost::asio {
class io_context;
}
namespace prometheus {
class Registry;
}

namespace buckthornhill::operations {
//! Runs the operators' listener on a thread of its own. Status queries go to the request thread through a
//! bounded queue, and the responses come back through another.
class operations_worker
{
public:
    //! `make_status` returns the state as JSON; it is called on the thread of `request_context`.
    operations_worker(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                      boost::asio::io_context& request_context, std::function<std::string()> make_status);
    ~operations_worker();
    operations_worker(const operations_worker&) = delete;
    operations_worker& operator=(const operations_worker&) = delete;

    http::endpoint local_endpoint() const;
    void start();
    //! Ends the thread. Call it after the request thread has ended.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::operations
