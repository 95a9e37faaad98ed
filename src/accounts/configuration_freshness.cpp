#include "accounts/configuration_freshness.h"

#include <algorithm>

namespace buckthornhill::accounts {
namespace {
//! Part of the bound that is kept back: the clocks of relays and peers add up ages at slightly different
//! rates, and ages are rounded.
constexpr int margin_divisor = 20;
} // namespace

void configuration_freshness::confirm(std::chrono::nanoseconds asked_at)
{
    this->confirmed_at = std::max(this->confirmed_at.value_or(asked_at), asked_at);
}

void configuration_freshness::confirm_by_instance(std::chrono::nanoseconds asked_at,
                                                  std::chrono::nanoseconds age)
{
    this->confirm(asked_at - age);
}

std::optional<std::chrono::nanoseconds> configuration_freshness::age(std::chrono::nanoseconds now) const
{
    if (!this->confirmed_at) {
        return std::nullopt;
    }
    return now - *this->confirmed_at;
}

std::chrono::nanoseconds configuration_freshness::usable_age() const
{
    return this->configuration.bound - this->configuration.bound / margin_divisor;
}

bool configuration_freshness::is_confirmed(std::chrono::nanoseconds now) const
{
    const auto current = this->age(now);
    return current && *current < this->usable_age();
}

bool configuration_freshness::is_confirmed_since(std::chrono::nanoseconds time) const
{
    return this->confirmed_at && *this->confirmed_at >= time;
}

bool configuration_freshness::needs_confirmation(std::chrono::nanoseconds now) const
{
    //! NOTE Without strict revocation only refusals of unknown keys need a confirmation, and the store is
    //! polled less often, so other instances are asked only when it is missing.
    const std::chrono::nanoseconds wanted =
        this->is_strict() ? this->configuration.bound / 2 : this->usable_age();
    const auto current = this->age(now);
    return !current || *current > wanted;
}
} // namespace buckthornhill::accounts
