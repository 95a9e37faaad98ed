#pragma once

#include <chrono>
#include <optional>

#include "accounts/accounts_types.h"

namespace buckthornhill::accounts {
//! How long ago the configuration in force was certainly the store's. All times are times since boot, which
//! count suspension of the machine and do not jump. Answers a store or a relay that is away, slow or cut off
//! while requests go on at their usual rate: a check is one comparison.
//!
//! A request that is sent while the configuration is confirmed was sent by its caller at most `bound` after
//! the store acknowledged any configuration that is not in force here, since a confirmation counts from when
//! the query for it was sent.
class configuration_freshness
{
public:
    explicit configuration_freshness(const freshness_configuration& configuration)
        : configuration(configuration)
    {
    }

    bool is_strict() const { return this->configuration.is_strict; }
    //! The store answered a query that was sent at `asked_at`, and what it said is in force.
    void confirm(std::chrono::nanoseconds asked_at);
    //! The same for an instance whose own confirmation had the given age when it answered. Its answer may
    //! have been delayed at any point, so the age counts from when the query was sent.
    void confirm_by_instance(std::chrono::nanoseconds asked_at, std::chrono::nanoseconds age);
    //! The confirmations were given for a configuration that turned out not to be the newest.
    void invalidate() { this->confirmed_at.reset(); }
    //! Empty when there was no confirmation yet.
    std::optional<std::chrono::nanoseconds> age(std::chrono::nanoseconds now) const;
    bool is_confirmed(std::chrono::nanoseconds now) const;
    //! Whether the latest confirmation describes the state at `time` or later.
    bool is_confirmed_since(std::chrono::nanoseconds time) const;
    //! Whether other instances should be asked for a more recent confirmation.
    bool needs_confirmation(std::chrono::nanoseconds now) const;

private:
    std::chrono::nanoseconds usable_age() const;

    freshness_configuration configuration;
    std::optional<std::chrono::nanoseconds> confirmed_at;
};
} // namespace buckthornhill::accounts
