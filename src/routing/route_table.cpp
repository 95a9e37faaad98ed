#include "routing/route_table.h"

namespace buckthornhill::routing {
bool route_table::update_if_newer(routing_configuration configuration)
{
    if (this->current != nullptr && configuration.version <= this->current->version) {
        return false;
    }
    this->by_host.clear();
    this->current = std::make_unique<routing_configuration>(std::move(configuration));
    this->directory = accounts::account_directory(this->current->accounts);
    for (const auto& route : this->current->routes) {
        this->by_host[route.host].emplace(route.path_prefix, &route);
    }
    return true;
}

configuration_version route_table::version() const
{
    return this->current == nullptr ? configuration_version{} : this->current->version;
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->by_host.find(host);
    if (prefixes == this->by_host.end()) {
        return nullptr;
    }
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, end + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const service_policy* route_table::policy(const service_id& service) const
{
    if (this->current == nullptr) {
        return nullptr;
    }
    const auto found = this->current->services.find(service);
    return found == this->current->services.end() ? nullptr : &found->second;
}

const caller_limits& route_table::limits() const
{
    static const caller_limits defaults;
    return this->current == nullptr ? defaults : this->current->limits;
}

const std::vector<accounts::client_account>& route_table::client_accounts() const
{
    static const std::vector<accounts::client_account> none;
    return this->current ? this->current->accounts : none;
}
} // namespace buckthornhill::routing
