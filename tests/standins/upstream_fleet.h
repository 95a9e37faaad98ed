#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "upstream_standin.h"

namespace buckthornhill::standins {
//! The upstreams of one deployment in one process, with a shared execution log.
//! Control: `GET /control/log`, `GET /control/counts`, `POST /control/drain?id=`, `POST /control/behavior`.
class upstream_fleet
{
public:
    //! `deployment` is the text of a deployment file.
    upstream_fleet(boost::asio::io_context& context, std::string_view deployment,
                   const upstream_behavior& behavior);
    ~upstream_fleet();
    upstream_fleet(const upstream_fleet&) = delete;
    upstream_fleet& operator=(const upstream_fleet&) = delete;

    //! The line printed when the fleet is ready: `{"control":"address:port","upstreams":[...]}`
    std::string ready_line() const;

private:
    void on_control(const http::exchange_ptr& exchange);
    std::string log_text() const;
    std::string counts_text() const;

    execution_log log;
    std::vector<std::unique_ptr<upstream_standin>> upstreams;
    std::unique_ptr<http::http_server> control;
};
} // namespace buckthornhill::standins
