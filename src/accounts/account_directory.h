#pragma once

#include <string_view>
#include <unordered_map>

#include "accounts/accounts_types.h"

namespace buckthornhill::accounts {
//! The accounts of one configuration, indexed by key. Answers the load of requests that carry a key: one hash
//! look-up each.
class account_directory
{
public:
    account_directory() = default;
    //! `accounts` must outlive the directory and stay unchanged. No key may appear twice.
    explicit account_directory(const std::vector<client_account>& accounts);

    //! Whether requests on routes that are not public need a known key.
    bool requires_key() const { return !this->by_id.empty(); }
    //! Returns null when no account has the key.
    const client_account* find(const api_key& key) const;
    //! Returns null when there is no such account.
    const client_account* find(const account_id& id) const;

private:
    std::unordered_map<std::string_view, const client_account*> by_key;
    std::unordered_map<std::string_view, const client_account*> by_id;
};
} // namespace buckthornhill::accounts
