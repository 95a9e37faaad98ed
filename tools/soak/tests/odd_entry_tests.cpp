#include <array>
#include <filesystem>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "gateway_process.h"
#include "http/http_client.h"
#include "platform_messages.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr std::size_t gateway_count = 5; //!< of one failure domain, so that four follow a relay
constexpr std::size_t upstream_count = 9;
constexpr std::size_t page_size = 1; //!< so that each list continues behind each name
constexpr const char* service = "stock";
constexpr const char* domain = "north-a";
constexpr const char* key = "k1";
constexpr milliseconds caller_patience{1500};
constexpr milliseconds startup_time{4000};
constexpr std::size_t request_count = 30;
constexpr std::array listed_kinds{"config", "servers", "evacuations", "entry-instances",
                                  "quarantined-requests"};

//! Gateways of one failure domain and upstreams `m0` and so on, in front of a store that lists in small
//! pages.
class paged_deployment
{
public:
    paged_deployment()
        : store(this->context)
        , client(this->context, http::client_limits{})
    {
        this->store.set_page_size(page_size);
        put_configuration(this->store, 1, {{"/read/", service, true}}, {}, {{"t1", {key}}});
        for (std::size_t i = 0; i < upstream_count; ++i) {
            upstream_traits traits;
            traits.id = "m" + std::to_string(i);
            traits.service = service;
            traits.domain = domain;
            traits.slots = 50;
            this->upstreams.push_back(std::make_unique<platform_upstream>(this->context, traits, this->runs));
            put_upstream(this->store, *this->upstreams.back(), this->upstreams.back()->address(), false);
        }
        const auto directory =
            std::filesystem::temp_directory_path() / ("bth-odd-entries-" + std::to_string(getpid()));
        std::filesystem::create_directories(directory);
        const std::string settings =
            "region-of-domain = north-a=north\nbound = strict_revoke=true\nbound = revoke=4s\nseed = " +
            loopback_address_of(0) + ":" + std::to_string(gateway_process::peers_port) + "\n";
        for (std::size_t i = 0; i < gateway_count; ++i) {
            const gateway_identity identity{"g" + std::to_string(i), domain, loopback_address_of(i)};
            this->gateways.push_back(std::make_unique<gateway_process>(
                BINARY_DIR "/buckthornhill-gateway", directory, identity, this->store.address(), settings));
        }
    }

    ~paged_deployment()
    {
        this->gateways.clear();
        this->client.close();
        this->run_for(milliseconds(0));
    }

    void restart_all()
    {
        for (auto& gateway : this->gateways) {
            gateway->kill();
        }
        for (auto& gateway : this->gateways) {
            gateway->start();
        }
        this->run_for(startup_time);
    }

    //! Entries of another writer under this name, in all lists.
    void put_odd(const std::string& name)
    {
        for (const auto* kind : listed_kinds) {
            this->store.put_text(kind, name, boost::json::serialize(boost::json::value(name)), "7");
        }
    }

    void remove_odd(const std::string& name)
    {
        for (const auto* kind : listed_kinds) {
            this->store.remove(kind, name);
        }
    }

    //! Sends some requests to each gateway and returns how many were served.
    std::size_t served()
    {
        std::size_t served_count = 0;
        std::size_t ended_count = 0;
        for (std::size_t i = 0; i < request_count; ++i) {
            const auto number = std::to_string(++this->sent);
            auto request = make_request("GET", "/read/" + number, "r" + number, caller_patience);
            set_api_key(request, key);
            this->client.send(this->gateways[i % gateway_count]->caller_endpoint(), request,
                              std::chrono::steady_clock::now() + caller_patience,
                              http::connection_choice::reuse, [&, request](const http::call_result& result) {
                                  const bool is_served =
                                      result.status == http::call_status::complete &&
                                      read_caller_response(request, result.response).is_success;
                                  served_count += is_served ? 1 : 0;
                                  if (++ended_count == request_count) {
                                      this->context.stop();
                                  }
                              });
        }
        this->run_for(caller_patience + milliseconds(200));
        return served_count;
    }

    void run_for(milliseconds time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    boost::asio::io_context context;
    platform_store store;

private:
    std::vector<upstream_run> runs;
    std::vector<std::unique_ptr<platform_upstream>> upstreams;
    std::vector<std::unique_ptr<gateway_process>> gateways;
    http::http_client client;
    std::size_t sent = 0;
};

const std::vector<std::string> odd_names{"a&x",      "b x",   "m1&after=m0", "m2+x", "m3#x",
                                         "m4%x",     "m5%41", "m5 ",         "m6\t", std::string("m7\0", 3),
                                         "z\xC3\xBC"};
} // namespace

//! Guards against an entry of another writer whose name keeps all instances from reading the lists to their
//! end, so that none serves after a restart.
TEST_CASE("[GIVEN] odd names in lists of several pages [WHEN] all instances are restarted [THEN] they serve, "
          "and read each page of a list once",
          "[odd entries]")
{
    paged_deployment deployment;
    deployment.restart_all();
    REQUIRE(deployment.served() == request_count);
    const auto calls_of_restart = [&] {
        const auto before = deployment.store.call_count();
        deployment.restart_all();
        return deployment.store.call_count() - before;
    };
    const auto usual_calls = calls_of_restart();

    for (const auto& name : odd_names) {
        deployment.put_odd(name);
    }
    CHECK(deployment.served() == request_count);
    const auto calls = calls_of_restart();
    CHECK(deployment.served() == request_count);
    //! Each entry takes a page of its list, which an instance reads twice at most meanwhile.
    CHECK(calls <= usual_calls + 2 * gateway_count * listed_kinds.size() * odd_names.size());
    CHECK(deployment.store.malformed_count() == 0);
}

//! Guards against an entry that comes and goes beside traffic and takes an upstream out of use.
TEST_CASE("[GIVEN] traffic [WHEN] entries with odd names come and go [THEN] every request is served",
          "[odd entries]")
{
    paged_deployment deployment;
    deployment.restart_all();
    for (int round = 0; round < 3; ++round) {
        for (const auto& name : odd_names) {
            deployment.put_odd(name);
            CHECK(deployment.served() == request_count);
            deployment.remove_odd(name);
        }
        deployment.store.forget_history();
        deployment.run_for(milliseconds(300));
        CHECK(deployment.served() == request_count);
    }
}
