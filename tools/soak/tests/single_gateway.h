#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway_process.h"
#include "http/http_client.h"
#include "platform_messages.h"

namespace buckthornhill::soak {
//! One gateway process, the platform's store and a caller, for tests that script the upstreams.
class single_gateway
{
public:
    //! `name` tells the working directories of tests apart; `settings` are further lines of the settings
    //! file.
    single_gateway(const std::string& name, const std::vector<platform::standins::route_description>& routes,
                   const std::string& settings = "");
    ~single_gateway();
    single_gateway(const single_gateway&) = delete;
    single_gateway& operator=(const single_gateway&) = delete;

    //! Starts the gateway and waits until it knows what the store has.
    void start();
    //! Sends the request and waits for its end.
    http::call_result send(const http::http_request& request, std::chrono::milliseconds patience);
    void run_for(std::chrono::milliseconds time);
    http::endpoint caller_endpoint() const;
    pid_t pid() const { return this->gateway->pid(); }

    boost::asio::io_context context;
    platform::standins::platform_store store;

private:
    std::unique_ptr<gateway_process> gateway;
    http::http_client client;
};
} // namespace buckthornhill::soak
