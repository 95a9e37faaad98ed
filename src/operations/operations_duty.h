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
class operations_duty
{
public:
    //! `status` gives the state as JSON; it is called on the thread of `request_context`.
    operations_duty(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                    boost::asio::io_context& request_context, std::function<std::string()> make_status);
    ~operations_duty();
    operations_duty(const operations_duty&) = delete;
    operations_duty& operator=(const operations_duty&) = delete;

    http::endpoint local_endpoint() const;
    void start();
    //! Ends the thread; to be called after the request duty has ended.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};
} // namespace buckthornhill::operations
