#include "accounts/account_directory.h"

namespace buckthornhill::accounts {
account_directory::account_directory(const std::vector<client_account>& accounts)
{
    for (const auto& account : accounts) {
        this->by_id.emplace(account.id.str(), &account);
        for (const auto& key : account.keys) {
            this->by_key.emplace(key.str(), &account);
        }
    }
}

const client_account* account_directory::find(const api_key& key) const
{
    const auto found = this->by_key.find(key.str());
    return found == this->by_key.end() ? nullptr : found->second;
}

const client_account* account_directory::find(const account_id& id) const
{
    const auto found = this->by_id.find(id.str());
    return found == this->by_id.end() ? nullptr : found->second;
}
} // namespace buckthornhill::accounts
