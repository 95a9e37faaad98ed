#include "account_plan.h"

#include <algorithm>

namespace buckthornhill::soak {
namespace {
constexpr std::size_t keys_per_account = 3;
constexpr std::size_t max_keys_per_account = 5;
constexpr double low_rate = 20;
constexpr double low_burst = 10;
constexpr std::size_t limited_account = 1;
constexpr std::size_t other_account = 2;
constexpr std::size_t regional_account = 3; //!< only with regions
//! Of the remaining callers. A region may have a single upstream of a service; while its successor is cold,
//! it takes 8 requests/s, and two routes of 60 requests/s lead to it.
constexpr std::uint64_t regional_percent = 5;
constexpr std::uint64_t percents = 100;
//! Callers of the limited account exceed its rate in every second period of so many requests of all
//! accounts, which is about 5 s with the default deployment.
constexpr std::uint64_t wave_length = 1500;
constexpr std::uint64_t limited_percent_in_wave = 30;
constexpr std::uint64_t limited_percent = 4;
//! Shares of the callers, in percent and in this order.
constexpr std::uint64_t without_key_below = 1;
constexpr std::uint64_t unknown_key_below = 4;
constexpr std::uint64_t revoked_key_below = 14;
constexpr std::uint64_t newest_key_below = 20;
constexpr std::uint64_t forging_percent = 5;
//! Of the revoked keys, callers use the latest ones, so that each is sent often around its revocation bound.
constexpr std::size_t revoked_keys_in_use = 5;
} // namespace

account_plan::account_plan(std::uint64_t seed, const std::string& region)
    : random(seed)
{
    this->configured = {
        {"open", {}, 0, 0, {}}, {"limited", {}, low_rate, low_burst, {}}, {"other", {}, 0, 0, {}}};
    if (!region.empty()) {
        this->configured.push_back({"regional", {}, 0, 0, {region}});
    }
    for (auto& account : this->configured) {
        while (account.keys.size() < keys_per_account) {
            this->add_key(account);
        }
    }
}

std::string account_plan::add_key(client_account& account)
{
    this->newest = account.name + "-key-" + std::to_string(++this->last_key);
    account.keys.push_back(this->newest);
    return this->newest;
}

key_change account_plan::change_keys()
{
    auto& account = this->configured[this->draw(this->configured.size())];
    constexpr std::uint64_t variants = 3;
    const auto variant = this->draw(variants);
    const bool has_few = account.keys.size() < 2;
    const bool has_many = account.keys.size() >= max_keys_per_account;
    key_change change;
    change.account = account.name;
    if (has_many || (variant != 0 && !has_few)) {
        const auto chosen =
            account.keys.begin() + 1 + static_cast<std::ptrdiff_t>(this->draw(account.keys.size() - 1));
        change.revoked = *chosen;
        account.keys.erase(chosen);
        this->revoked.push_back(change.revoked);
    }
    if (!has_many && (variant != 1 || has_few)) {
        change.added = this->add_key(account);
    }
    return change;
}

const client_account& account_plan::draw_account()
{
    const bool is_wave = this->callers_drawn / wave_length % 2 == 1;
    const auto& limited = this->configured[limited_account];
    if (this->draw(percents) < (is_wave ? limited_percent_in_wave : limited_percent)) {
        return limited;
    }
    if (this->configured.size() > regional_account && this->draw(percents) < regional_percent) {
        return this->configured[regional_account];
    }
    return this->configured[this->draw(2) == 0 ? 0 : other_account];
}

caller_identity account_plan::draw_caller()
{
    ++this->callers_drawn;
    caller_identity caller;
    const auto& account = this->draw_account();
    const auto drawn = this->draw(percents);
    if (drawn >= newest_key_below) {
        caller.key = account.keys[this->draw(account.keys.size())];
    } else if (drawn >= revoked_key_below) {
        caller.key = this->newest;
    } else if (drawn >= unknown_key_below && !this->revoked.empty()) {
        const auto recent = std::min(revoked_keys_in_use, this->revoked.size());
        caller.key = this->revoked[this->revoked.size() - 1 - this->draw(recent)];
    } else if (drawn >= without_key_below) {
        caller.key = "unknown-" + std::to_string(this->draw(percents));
    }
    if (this->draw(percents) < forging_percent) {
        caller.forged_account = this->draw(2) == 0 ? "forged" : this->configured.front().name;
    }
    return caller;
}
} // namespace buckthornhill::soak
