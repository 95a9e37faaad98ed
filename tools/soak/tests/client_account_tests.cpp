#include <csignal>

#include <catch2/catch.hpp>

#include "account_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using std::chrono::milliseconds;

namespace {
constexpr auto revoke_bound = account_deployment::revoke_bound;
constexpr milliseconds patience{4500};
} // namespace

//! Guards against requests that run with a revoked key or for the wrong account, and against instances that
//! follow a relay and count as unconfirmed although the store responds.
TEST_CASE(
    "[GIVEN] gateways that follow a relay [WHEN] keys are added, moved and revoked [THEN] requests run for "
    "the account of their key",
    "[client accounts]")
{
    account_deployment deployment(5);
    deployment.configure({{"east", {"k1", "k2"}}, {"west", {"k3"}}});
    deployment.start();
    for (int round = 0; round < 12; ++round) {
        for (const auto& id : deployment.send_to_all("k2", milliseconds(500))) {
            CHECK(deployment.accounts[id] == "east");
        }
    }
    for (const auto& id : deployment.send_to_all("unknown", milliseconds(4000))) {
        CHECK_FALSE(deployment.accounts.contains(id));
        CHECK(deployment.responses[id].says_unknown_key != deployment.responses[id].guarantees_not_executed);
    }
    for (const auto& id : deployment.send_to_all("unknown", milliseconds(500))) {
        CHECK(deployment.responses[id].says_unknown_key);
    }
    deployment.configure({{"east", {"k1"}}, {"west", {"k3", "k2", "k4"}}});
    for (const auto& id : deployment.send_to_all("k4", milliseconds(3000))) {
        CHECK((deployment.accounts[id] == "west" || deployment.responses[id].guarantees_not_executed));
    }
    for (const auto& id : deployment.send_to_all("k2", milliseconds(500))) {
        CHECK(deployment.accounts[id] == "west");
    }
    deployment.configure({{"east", {}}, {"west", {"k3"}}});
    deployment.run_for(milliseconds(3000));
    for (const auto* key : {"k1", "k2"}) {
        for (const auto& id : deployment.send_to_all(key, milliseconds(500))) {
            CHECK_FALSE(deployment.accounts.contains(id));
        }
    }
    CHECK_FALSE(deployment.has_seen_key);
}

//! Guards against instances that serve keys without knowing whether they are in force: with a store that is
//! silent, and after a freeze in which a key was revoked.
TEST_CASE(
    "[GIVEN] strict revocation [WHEN] the store is silent or a gateway was frozen [THEN] no key runs past "
    "the bound",
    "[client accounts]")
{
    account_deployment deployment(5);
    deployment.configure({{"east", {"k1", "k2"}}});
    deployment.start();
    for (auto& gateway : deployment.gateways) {
        gateway->signal(SIGSTOP);
    }
    deployment.configure({{"east", {"k1"}}});
    deployment.run_for(revoke_bound + milliseconds(500));
    std::vector<std::string> after_freeze;
    for (std::size_t i = 0; i < deployment.gateways.size(); ++i) {
        after_freeze.push_back(deployment.send(i, "k2"));
    }
    for (auto& gateway : deployment.gateways) {
        gateway->signal(SIGCONT);
    }
    deployment.run_for(milliseconds(4000));
    for (const auto& id : after_freeze) {
        CHECK_FALSE(deployment.accounts.contains(id));
    }
    for (const auto& id : deployment.send_to_all("k1", milliseconds(500))) {
        CHECK(deployment.accounts[id] == "east");
    }
    deployment.store.set_faults({.is_unresponsive = true});
    deployment.run_for(revoke_bound);
    for (const auto& id : deployment.send_to_all("k1", milliseconds(500))) {
        CHECK_FALSE(deployment.accounts.contains(id));
        CHECK(deployment.responses[id].guarantees_not_executed);
    }
    deployment.store.set_faults({});
    deployment.run_for(milliseconds(4000));
    for (const auto& id : deployment.send_to_all("k1", milliseconds(500))) {
        CHECK(deployment.accounts[id] == "east");
    }
}

//! Guards against an instance that stops serving keys, or serves revoked ones, because the store refuses it
//! alone.
TEST_CASE("[GIVEN] a gateway that the store refuses [WHEN] its peers are in contact with the store [THEN] it "
          "serves the keys in force and no others",
          "[client accounts]")
{
    account_deployment deployment(2, 1);
    constexpr std::size_t refused = 2;
    deployment.configure({{"east", {"k1", "k2"}}});
    deployment.start();
    deployment.run_for(revoke_bound);
    for (int round = 0; round < 12; ++round) {
        const auto id = deployment.send(refused, "k2");
        deployment.run_for(milliseconds(500));
        CHECK(deployment.accounts[id] == "east");
    }
    deployment.configure({{"east", {"k1"}}});
    deployment.run_for(revoke_bound);
    const auto revoked = deployment.send(refused, "k2");
    const auto kept = deployment.send(refused, "k1");
    deployment.run_for(patience);
    CHECK_FALSE(deployment.accounts.contains(revoked));
    const auto& response = deployment.responses[revoked];
    CHECK((response.says_unknown_key || response.guarantees_not_executed));
    CHECK(deployment.accounts[kept] == "east");
    const auto revoked_again = deployment.send(refused, "k2");
    deployment.run_for(milliseconds(500));
    CHECK(deployment.responses[revoked_again].says_unknown_key);
}
