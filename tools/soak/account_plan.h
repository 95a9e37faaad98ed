#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace buckthornhill::soak {
//! An account of the configuration of a run; without a limit unless it has a rate.
struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    double requests_per_second = 0;
    double burst = 0;
    std::vector<std::string> regions; //!< empty: all
};

//! What a caller states with a request.
struct caller_identity
{
    std::string key;            //!< empty: none
    std::string forged_account; //!< in the header that only gateways may set; empty: no such header
};

//! What the next configuration adds and leaves out; one of them may be empty.
struct key_change
{
    std::string account;
    std::string added;
    std::string revoked;
};

//! The accounts of a run, how their keys change, and which keys callers send. Draws from the seed alone. Keys
//! are never used again after their revocation.
class account_plan
{
public:
    //! One account is restricted to `region`, unless that is empty.
    account_plan(std::uint64_t seed, const std::string& region);

    const std::vector<client_account>& accounts() const { return this->configured; }
    //! Changes the keys of one account. The first key of each account stays.
    key_change change_keys();
    //! Most callers have a key in force; some have a revoked, unknown or missing one, or just the newest.
    caller_identity draw_caller();
    //! A key that is never revoked.
    const std::string& lasting_key() const { return this->configured.front().keys.front(); }

private:
    std::string add_key(client_account& account);
    const client_account& draw_account();
    std::uint64_t draw(std::uint64_t bound) { return this->random() % bound; }

    std::mt19937_64 random;
    std::vector<client_account> configured;
    std::vector<std::string> revoked;
    std::string newest;
    std::uint64_t last_key = 0;
    std::uint64_t callers_drawn = 0;
};
} // namespace buckthornhill::soak
