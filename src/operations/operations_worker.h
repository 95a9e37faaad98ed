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
//! The operators' duty: a thread of its own with their listener. Questions about state cross to the request
//! duty on a ring, and the answers come back on another.
class operations_worker
{
public:
    //! `status` gives the state as JSON; it is called on the thread of `request_context`.
    operations_worker(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                      boost::asio::io_context& request_context, std::function<std::string()> make_status);
    ~operations_worker();
    operations_worker(const operations_worker&) = delete;
    operations_worker& operator=(const operations_worker&) = delete;

    http::endpoint local_endpoint() const;
    void start();
    //! Ends the thread; to be called after the request duty has ended.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::operations
