#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>

#include "accounts/account_directory.h"
#include "routing/routing_types.h"

namespace buckthornhill::routing {
//! The configuration in force, indexed by host and path. Never returns to an older version.
class route_table
{
public:
    //! Puts `configuration` in force if it is newer than the one in force; returns whether it did.
    bool update_if_newer(routing_configuration configuration);

    bool has_configuration() const { return this->current != nullptr; }
    configuration_version version() const;
    //! Route of `host` with the longest prefix that begins `path`, or null. Valid until the next
    //! `update_if_newer`.
    const route* find(std::string_view host, std::string_view path) const;
    //! Policy of `service`, or null when the configuration in force does not name it.
    const service_policy* policy(const service_id& service) const;
    const caller_limits& limits() const;
    //! The list of them. Valid until the next `update_if_newer`.
    const std::vector<accounts::client_account>& client_accounts() const;
    //! Accounts of the configuration in force. Valid until the next `update_if_newer`.
    const accounts::account_directory& accounts() const { return this->directory; }

private:
    using prefix_index = std::unordered_map<std::string_view, const route*>;

    std::unique_ptr<routing_configuration> current;
    accounts::account_directory directory;
    std::unordered_map<std::string_view, prefix_index> by_host;
};
} // namespace buckthornhill::routing
