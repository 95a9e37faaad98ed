#include <csignal>
#include <iostream>

#include <catch2/catch.hpp>

#include "account_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t gateway_count = 3;
constexpr const char* kept_key = "k-kept";
constexpr const char* revoked_key = "k-revoked";
constexpr milliseconds away{700};
constexpr milliseconds request_interval{25};
constexpr milliseconds store_delay{28}; //!< of a store in another region
//! Time from the start of the processes until callers with keys must be served again.
constexpr milliseconds recovery_limit{15000};

//! Gateways that know from the store that a key was revoked, and a copy of the store in which it was not.
//! Only the first gateway is a seed, and it is the one that is restarted.
class revoking_deployment : public account_deployment
{
public:
    revoking_deployment()
        : account_deployment(gateway_count, 0, 1)
    {
        this->store.name_era(1);
        this->store.set_faults({.delay = store_delay});
        this->configure({{"east", {kept_key, revoked_key}}});
        this->start();
        this->store.take_copy();
    }

    void revoke() { this->configure({{"east", {kept_key}}}); }

    //! Sends requests with the revoked key to this gateway, or to all.
    void use_revoked_key(milliseconds time, std::optional<std::size_t> only = std::nullopt)
    {
        for (auto left = time; left.count() > 0; left -= request_interval) {
            for (std::size_t i = 0; i < gateway_count; ++i) {
                if (!only || *only == i) {
                    this->revoked_requests.push_back(this->send(i, revoked_key));
                }
            }
            this->run_for(request_interval);
        }
    }

    std::ptrdiff_t revoked_runs() const
    {
        return std::ranges::count_if(this->revoked_requests,
                                     [this](const auto& id) { return this->accounts.contains(id); });
    }

    //! Time until the gateway serves a request with the key in force.
    milliseconds time_until_served(std::size_t gateway)
    {
        const auto started_at = std::chrono::steady_clock::now();
        const auto elapsed = [started_at] {
            return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at);
        };
        std::vector<std::string> sent;
        const auto is_any_served = [&] {
            return std::ranges::any_of(sent, [this](const auto& id) { return this->accounts.contains(id); });
        };
        while (!is_any_served() && elapsed() < recovery_limit) {
            sent.push_back(this->send(gateway, kept_key));
            this->run_for(request_interval);
        }
        return elapsed();
    }

private:
    std::vector<std::string> revoked_requests;
};
} // namespace

//! Guards against a revoked key that runs at a gateway started beside a restore of the store: it took the
//! first list for the newest configuration.
TEST_CASE("[GIVEN] a key that was revoked since the copy [WHEN] a gateway starts just after the restore "
          "[THEN] the key does not run there",
          "[restart after restore]")
{
    revoking_deployment deployment;
    deployment.revoke();
    deployment.run_for(account_deployment::revoke_bound + milliseconds(500));
    deployment.use_revoked_key(milliseconds(500));
    REQUIRE(deployment.revoked_runs() == 0);
    deployment.store.restore_copy(away);
    deployment.gateways[0]->kill();
    deployment.run_for(away + milliseconds(200));
    deployment.gateways[0]->start();
    deployment.use_revoked_key(milliseconds(2000));
    CHECK(deployment.revoked_runs() == 0);
    deployment.configure_again();
    deployment.use_revoked_key(milliseconds(2000));
    for (std::size_t i = 0; i < gateway_count; ++i) {
        CHECK(deployment.is_served(i, kept_key));
    }
    CHECK(deployment.revoked_runs() == 0);
}

//! Guards against gateways that vouch for each other although none of them ran before the restore.
TEST_CASE(
    "[GIVEN] a configuration that the store lost [WHEN] all gateways are restarted one after the other, "
    "or two at once [THEN] the revoked key runs at none of them",
    "[restart after restore]")
{
    revoking_deployment deployment;
    deployment.revoke();
    deployment.run_for(account_deployment::revoke_bound);
    deployment.store.restore_copy(away);
    deployment.use_revoked_key(away + milliseconds(100));
    SECTION("one after the other")
    {
        for (std::size_t i = 0; i < gateway_count; ++i) {
            deployment.restart(i);
            deployment.use_revoked_key(milliseconds(1500));
        }
    }
    SECTION("two at once")
    {
        deployment.restart(0);
        deployment.restart(1);
        deployment.use_revoked_key(milliseconds(2500));
    }
    CHECK(deployment.revoked_runs() == 0);
    deployment.configure_again();
    deployment.run_for(account_deployment::recovery_bound);
    for (std::size_t i = 0; i < gateway_count; ++i) {
        CHECK(deployment.is_served(i, kept_key));
    }
}

//! Guards against a gateway that was frozen while the key was revoked, wakes after the restore and takes what
//! it last knew for the newest configuration.
TEST_CASE("[GIVEN] a gateway that is frozen while a key is revoked [WHEN] the store is restored meanwhile "
          "[THEN] the key does not run there when it wakes",
          "[restart after restore]")
{
    revoking_deployment deployment;
    deployment.gateways[0]->signal(SIGSTOP);
    deployment.revoke();
    deployment.run_for(milliseconds(2000));
    deployment.store.restore_copy(away);
    deployment.run_for(account_deployment::revoke_bound - milliseconds(2000) + milliseconds(500));
    deployment.gateways[0]->signal(SIGCONT);
    deployment.use_revoked_key(milliseconds(2500), 0);
    CHECK(deployment.revoked_runs() == 0);
}

//! Guards against starts that make callers with keys wait although nothing was restored.
TEST_CASE("[GIVEN] gateways that run [WHEN] one is restarted [THEN] it serves keys within a heartbeat",
          "[restart after restore]")
{
    revoking_deployment deployment;
    deployment.run_for(milliseconds(5000));
    deployment.restart(0);
    const auto one = deployment.time_until_served(0);
    std::cout << "one restarted: keys are served after " << one.count() << " ms\n";
    CHECK(one < milliseconds(1500));
    for (std::size_t i = 0; i < gateway_count; ++i) {
        deployment.restart(i);
    }
    const auto all = deployment.time_until_served(1);
    std::cout << "all restarted at once: keys are served after " << all.count() << " ms\n";
    CHECK(all < recovery_limit);
}
