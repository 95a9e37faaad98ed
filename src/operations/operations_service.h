#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/http_exchange.h"

namespace boost::asio {
class io_context;
}
namespace prometheus {
class Registry;
}

namespace buckthornhill::http {
class http_server;
}

namespace buckthornhill::operations {
//! A status query of the operations thread to the request thread.
struct status_query
{
    std::uint64_t id = 0;
};

struct status_response
{
    std::uint64_t id = 0;
    std::string body;
};

//! The operators' listener; serves the state and the metrics on the operations thread.
class operations_service
{
public:
    //! `send_query` puts a query into the queue to the request thread and returns false when the queue is
    //! full.
    operations_service(boost::asio::io_context& context, const http::endpoint& listen,
                       std::shared_ptr<prometheus::Registry> registry,
                       std::function<bool(status_query)> send_query);
    ~operations_service();
    operations_service(const operations_service&) = delete;
    operations_service& operator=(const operations_service&) = delete;

    http::endpoint local_endpoint() const;
    void on_response(const status_response& response);

private:
    void on_request(const http::exchange_ptr& exchange);

    std::shared_ptr<prometheus::Registry> registry;
    std::function<bool(status_query)> send_query;
    std::map<std::uint64_t, http::exchange_ptr> pending_exchanges;
    std::uint64_t last_query_id = 0;
    std::unique_ptr<http::http_server> server;
};
} // namespace buckthornhill::operations
