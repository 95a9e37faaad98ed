#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http_exchange.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::http {
class http_server;
}

namespace buckthornhill::standins {
//! Faults that tests can inject into the store.
struct store_faults
{
    bool is_down = false;       //!< requests get no response; the connection is closed
    int slow_ms = 0;            //!< delay of each response
    int lost_write_answers = 0; //!< number of writes that take effect but get no response
    bool is_list_stale = false; //!< newly registered instance lists are held back until this is off
};

//! Stand-in for the platform's object API: versions, conditional updates, watches (long polls) and the
//! list of instances.
//! Control: `POST /control/faults`, `PUT /control/instances`, `GET /control/counts`.
class store_standin
{
public:
    store_standin(boost::asio::io_context& context, unsigned short port);
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    http::endpoint local_endpoint() const;

private:
    struct stored_object
    {
        std::uint64_t version = 0;
        std::string body;
        std::vector<http::exchange_ptr> watchers;
    };

    void on_request(const http::exchange_ptr& exchange);
    void on_control(const http::exchange_ptr& exchange, std::string_view path);
    void on_read(const http::exchange_ptr& exchange, const std::string& name);
    void on_write(const http::exchange_ptr& exchange, const std::string& name);
    void on_list(const http::exchange_ptr& exchange);
    void update_object(const std::string& name, std::string body);
    void respond(const http::exchange_ptr& exchange, http::http_response response);
    void respond_with_object(const http::exchange_ptr& exchange, const stored_object& object);
    void hold_until_changed(const http::exchange_ptr& exchange, const std::string& name, int wait_ms);

    boost::asio::io_context& context;
    std::map<std::string, stored_object> objects;
    store_faults faults;
    std::string unpublished_instances; //!< the last list registered while `is_list_stale` is set
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::unique_ptr<http::http_server> server;
};
} // namespace buckthornhill::standins
