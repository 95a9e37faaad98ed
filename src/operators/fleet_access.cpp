#include "operators/fleet_access.h"

#include <boost/json.hpp>

#include "global/json_reader.h"
#include "http/blocking_call.h"
#include "lists/list_codec.h"

namespace buckthornhill::operators {
fleet_access::fleet_access(const operators_configuration& settings, const store_access& access)
    : configuration(settings)
    , store(access)
{
}

instance_status fleet_access::status_of(const json_reader& list, std::size_t index) const
{
    instance_status instance;
    std::optional<http::endpoint> operations;
    try {
        const auto entry = list.element("entries", index);
        instance.id = entry.text("id");
        instance.address = entry.text_or("operations_address", "");
        if (!instance.address.empty()) {
            operations = http::parse_endpoint(instance.address);
        }
    } catch (const error&) {
        instance.id = "entries[" + std::to_string(index) + "]";
        instance.is_readable = false;
    }
    if (operations) {
        const auto result =
            http::call_and_wait(*operations, {"GET", "/status", {}, ""}, this->configuration.timeout);
        instance.is_answering = result.status == http::call_status::complete && result.response.status == 200;
        if (instance.is_answering) {
            instance.status = parse_json(result.response.body, "status of " + instance.id);
        }
    }
    return instance;
}

std::vector<instance_status> fleet_access::statuses() const
{
    const auto list = parse_json(this->store.read(lists::document_name::instances).body, "instances");
    const json_reader reader(list, "instances");
    std::vector<instance_status> statuses;
    for (std::size_t i = 0; i < reader.array("entries").size(); ++i) {
        statuses.push_back(this->status_of(reader, i));
    }
    return statuses;
}

std::vector<std::string> fleet_access::caller_addresses() const
{
    if (!this->configuration.entries.empty()) {
        return this->configuration.entries;
    }
    std::vector<std::string> addresses;
    const auto list = lists::parse_instances(this->store.read(lists::document_name::instances).body);
    for (const auto& entry : list.entries) {
        addresses.push_back(entry.caller_address);
    }
    return addresses;
}
} // namespace buckthornhill::operators
