#include <algorithm>
#include <iostream>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "single_gateway.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t upstream_count = 6;
constexpr milliseconds caller_patience{1500};
constexpr milliseconds request_interval{10};
//! Time from the acknowledgement of a removal until no request may reach the upstream.
constexpr milliseconds drain_bound{2000};
//! Time in which the owners of registrations that lapsed in an outage renew them.
constexpr milliseconds renewal_time{1500};

time_point now()
{
    return std::chrono::steady_clock::now();
}

//! A gateway with a constant load and upstreams `u0` and so on, in front of a store that does not answer for
//! a time. The gateway cannot tell whether the store is away or it is cut off itself.
class outage_deployment : public single_gateway
{
public:
    outage_deployment()
        : single_gateway("removal-after-outage", {{"/read/", "stock", true}},
                         "bound = stable_window=3000ms\nbound = drain=2000ms\nheartbeat = 1500ms\n")
        , client(this->context, http::client_limits{})
    {
        for (std::size_t i = 0; i < upstream_count; ++i) {
            upstream_traits traits;
            traits.id = "u" + std::to_string(i);
            traits.service = "stock";
            traits.domain = "north-a";
            traits.slots = 50;
            this->upstreams.push_back(std::make_unique<platform_upstream>(this->context, traits, this->runs));
        }
        this->register_all();
        this->start();
        this->send_requests();
        this->run_for(milliseconds(2000));
    }

    ~outage_deployment()
    {
        this->is_over = true;
        this->client.close();
        this->run_for(milliseconds(0));
    }

    void register_all()
    {
        for (const auto& upstream : this->upstreams) {
            put_upstream(this->store, *upstream, upstream->address(), false);
        }
    }

    void remove(std::size_t upstream)
    {
        const auto& id = this->upstreams[upstream]->id();
        remove_upstream_entry(this->store, id);
        this->removed_at[id] = now();
    }

    //! The store is silent for `time`. Registrations lapse after `until_lapse`.
    void lose_store(milliseconds time, std::optional<milliseconds> until_lapse = std::nullopt)
    {
        this->store.set_faults({.is_unresponsive = true});
        if (until_lapse) {
            this->run_for(*until_lapse);
            for (const auto& upstream : this->upstreams) {
                remove_upstream_entry(this->store, upstream->id());
            }
        }
        this->run_for(time - until_lapse.value_or(milliseconds(0)));
        this->store.set_faults({});
    }

    milliseconds latest_use_after_removal() const
    {
        duration latest{};
        for (const auto& run : this->runs) {
            const auto removed = this->removed_at.find(run.upstream);
            if (removed != this->removed_at.end()) {
                latest = std::max(latest, run.started_at - removed->second);
            }
        }
        return std::chrono::duration_cast<milliseconds>(latest);
    }

    std::size_t sent = 0;
    std::size_t failed = 0;

private:
    void send_requests()
    {
        const auto number = std::to_string(++this->sent);
        const auto request = make_request("GET", "/read/" + number, "r" + number, caller_patience);
        this->client.send(this->caller_endpoint(), request, now() + caller_patience,
                          http::connection_choice::reuse, [this, request](const http::call_result& result) {
                              const bool is_served =
                                  result.status == http::call_status::complete &&
                                  read_caller_response(request, result.response).is_success;
                              this->failed += is_served || this->is_over ? 0 : 1;
                          });
        this->timer.expires_after(request_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure && !this->is_over) {
                this->send_requests();
            }
        });
    }

    std::vector<upstream_run> runs;
    std::vector<std::unique_ptr<platform_upstream>> upstreams;
    std::map<std::string, time_point> removed_at;
    http::http_client client;
    boost::asio::steady_timer timer{this->context};
    bool is_over = false;
};
} // namespace

//! Guards against a grace period that begins when a removal is heard: requests reached upstreams that had
//! left after the outage for longer than the bound, and were lost with them.
TEST_CASE("[GIVEN] a gateway that was cut off from the store [WHEN] upstreams leave one after the other soon "
          "after the cut [THEN] none gets requests past the bound",
          "[removal after outage]")
{
    outage_deployment deployment;
    deployment.lose_store(milliseconds(4000));
    deployment.run_for(milliseconds(1000));
    for (const std::size_t upstream : {0, 1, 2, 3}) {
        deployment.remove(upstream);
        deployment.run_for(milliseconds(120));
    }
    deployment.run_for(milliseconds(4000));
    std::cout << deployment.sent << " requests, " << deployment.failed << " failed, the latest "
              << deployment.latest_use_after_removal().count() << " ms after a removal\n";
    CHECK(deployment.latest_use_after_removal() < drain_bound);
    CHECK(deployment.failed == 0);
}

//! Guards against upstreams that are dropped before their owners can renew what lapsed in an outage.
TEST_CASE("[GIVEN] an outage of the store in which all registrations lapse [WHEN] they are renewed after it "
          "[THEN] callers notice nothing",
          "[removal after outage]")
{
    outage_deployment deployment;
    SECTION("one outage")
    {
        deployment.lose_store(milliseconds(5000), milliseconds(3500));
    }
    SECTION("two in quick succession")
    {
        deployment.lose_store(milliseconds(5000), milliseconds(3500));
        deployment.run_for(milliseconds(1300));
        deployment.lose_store(milliseconds(3000));
    }
    deployment.run_for(renewal_time);
    deployment.register_all();
    deployment.run_for(milliseconds(2000));
    CHECK(deployment.failed == 0);
}
