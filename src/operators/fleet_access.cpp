#include "operators/fleet_access.h"

#include <boost/json.hpp>

#include "global/json_reader.h"
#include "http/blocking_call.h"

namespace buckthornhill::operators {
fleet_access::fleet_access(const operators_configuration& settings, const store_access& access)
    : configuration(settings)
    , store(access)
{
}

std::vector<instance_status> fleet_access::statuses() const
{
    const auto list = parse_json(this->store.read(lists::document_name::instances).body, "instances");
    const json_reader reader(list, "instances");
    std::vector<instance_status> statuses;
    for (std::size_t i = 0; i < reader.array("entries").size(); ++i) {
        const auto entry = reader.element("entries", i);
        instance_status instance;
        instance.id = entry.text("id");
        instance.address = entry.text_or("operations_address", "");
        if (!instance.address.empty()) {
            const auto result = http::call_and_wait(http::parse_endpoint(instance.address),
                                                    {"GET", "/status", {}, ""}, this->configuration.timeout);
            instance.is_answering =
                result.status == http::call_status::complete && result.response.status == 200;
            if (instance.is_answering) {
                instance.status = parse_json(result.response.body, "status of " + instance.id);
            }
        }
        statuses.push_back(std::move(instance));
    }
    return statuses;
}

std::vector<std::string> fleet_access::caller_addresses() const
{
    if (!this->configuration.entries.empty()) {
        return this->configuration.entries;
    }
    const auto list = parse_json(this->store.read(lists::document_name::instances).body, "instances");
    const json_reader reader(list, "instances");
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < reader.array("entries").size(); ++i) {
        addresses.push_back(reader.element("entries", i).text("caller_address"));
    }
    return addresses;
}
} // namespace buckthornhill::operators
