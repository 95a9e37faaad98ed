#pragma once

#include <chrono>
#include <unordered_map>

#include "accounts/accounts_types.h"

namespace buckthornhill::accounts {
//! Since when keys have been in use that no account has. A key may have been added and used before the
//! configuration with it arrived here, so it counts as unknown only when a configuration without it was
//! confirmed after its first use. Bounded, because callers choose the keys.
class unknown_keys
{
public:
    //! Records a use and returns the time of the first one.
    std::chrono::nanoseconds first_use(const api_key& key, std::chrono::nanoseconds now);

private:
    struct use
    {
        std::chrono::nanoseconds first{};
        std::chrono::nanoseconds latest{};
    };

    std::unordered_map<api_key, use> uses;
};
} // namespace buckthornhill::accounts
