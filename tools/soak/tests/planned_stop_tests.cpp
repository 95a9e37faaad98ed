#include <csignal>
#include <filesystem>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "gateway_process.h"
#include "http/http_client.h"
#include "platform_messages.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds grace{2000};
constexpr milliseconds work_time{1200}; //!< the route's timeout is 1500 ms
constexpr milliseconds request_interval{25};
constexpr milliseconds caller_patience{3000};

time_point now()
{
    return std::chrono::steady_clock::now();
}

struct request_record
{
    std::string id;
    milliseconds sent_after; //!< the stop signal
    bool is_answered = false;
    bool is_refused = false;
};

//! One gateway that is stopped while callers go on sending it requests whose work takes longer than half of
//! the grace period.
class stopping_gateway
{
public:
    stopping_gateway()
        : store(this->context)
        , client(this->context, http::client_limits{})
    {
        put_configuration(this->store, 1, {{"/once/", "slow", false}});
        upstream_traits traits;
        traits.id = "u1";
        traits.service = "slow";
        traits.domain = "north-a";
        traits.slots = 200;
        traits.processing_time = work_time;
        this->upstream = std::make_unique<platform_upstream>(this->context, traits, this->runs);
        put_upstream(this->store, *this->upstream, this->upstream->address(), false);
        const auto directory =
            std::filesystem::temp_directory_path() / ("bth-stop-" + std::to_string(getpid()));
        std::filesystem::create_directories(directory);
        const gateway_identity identity{"g0", "north-a", loopback_address_of(0)};
        this->gateway = std::make_unique<gateway_process>(
            BINARY_DIR "/buckthornhill-gateway", directory, identity, this->store.address(),
            "region-of-domain = north-a=north\nbound = grace=" + std::to_string(grace.count()) + "ms\n");
        this->gateway->start();
        this->context.run_for(std::chrono::seconds(2));
    }

    void stop_and_send()
    {
        this->stopped_at = now();
        this->gateway->request_stop();
        this->send_next();
        this->context.run_for(grace + caller_patience);
    }

    bool has_run(const std::string& id) const
    {
        return std::ranges::any_of(this->runs, [&id](const auto& run) { return run.request == id; });
    }

    std::vector<request_record> requests;

private:
    void send_next()
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now() - this->stopped_at);
        if (elapsed >= grace) {
            return;
        }
        const auto index = this->requests.size();
        const auto id = "r" + std::to_string(index);
        this->requests.push_back({id, elapsed});
        const auto request = make_request("POST", "/once/" + id, id, caller_patience);
        this->client.send(
            this->gateway->caller_endpoint(), request, now() + caller_patience,
            http::connection_choice::fresh, [this, index, request](const http::call_result& result) {
                auto& record = this->requests[index];
                record.is_answered = result.status == http::call_status::complete ||
                                     result.status == http::call_status::connect_failed;
                record.is_refused = record.is_answered &&
                                    read_caller_response(request, result.response).guarantees_not_executed;
            });
        this->timer.expires_after(request_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->send_next();
            }
        });
    }

    boost::asio::io_context context;
    platform_store store;
    std::vector<upstream_run> runs;
    std::unique_ptr<platform_upstream> upstream;
    std::unique_ptr<gateway_process> gateway;
    http::http_client client;
    boost::asio::steady_timer timer{this->context};
    time_point stopped_at{};
};
} // namespace

//! Guards against requests that a stopping gateway passes on and then cuts off at the end of the grace
//! period.
TEST_CASE(
    "[GIVEN] a planned stop [WHEN] requests arrive that could not end within the grace period [THEN] each is "
    "answered or refused, and none is cut off",
    "[gateway process][planned stop]")
{
    stopping_gateway stopping;
    stopping.stop_and_send();
    int served = 0;
    int refused = 0;
    for (const auto& request : stopping.requests) {
        INFO(request.id << " was sent " << request.sent_after.count() << " ms after the signal");
        const bool has_run = stopping.has_run(request.id);
        CHECK((request.is_answered || !has_run));
        CHECK_FALSE((request.is_refused && has_run));
        served += has_run && request.is_answered ? 1 : 0;
        refused += request.is_refused ? 1 : 0;
    }
    std::cout << stopping.requests.size() << " requests, " << served << " served, " << refused
              << " refused\n";
    CHECK(served > 0);
    CHECK(refused > 0);
}
