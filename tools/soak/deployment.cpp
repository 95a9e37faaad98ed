#include "deployment.h"

#include <fstream>
#include <iterator>
#include <numeric>

#include <boost/json.hpp>

namespace buckthornhill::soak {
namespace json = boost::json;

namespace {
std::string text_of(const json::value& value)
{
    return std::string(value.as_string());
}

template <typename Number>
Number number_of(const json::object& object, const char* name, Number fallback)
{
    const auto* found = object.if_contains(name);
    return found == nullptr ? fallback : found->to_number<Number>();
}

std::chrono::milliseconds time_of(const json::object& object, const char* name,
                                  std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(number_of(object, name, fallback.count()));
}

bool flag_of(const json::object& object, const char* name)
{
    const auto* found = object.if_contains(name);
    return found != nullptr && found->as_bool();
}

domain_description read_domain(const json::object& object)
{
    return {text_of(object.at("name")), text_of(object.at("region")),
            number_of<std::size_t>(object, "gateways", 0)};
}

service_description read_service(const json::object& object)
{
    service_description service;
    service.name = text_of(object.at("name"));
    for (const auto& count : object.at("upstreams").as_array()) {
        service.upstreams.push_back(count.to_number<std::size_t>());
    }
    service.slots = number_of(object, "slots", service.slots);
    service.queue = number_of(object, "queue", service.queue);
    service.cold_requests_per_second = number_of(object, "cold_per_s", service.cold_requests_per_second);
    service.cold_time = time_of(object, "cold_ms", service.cold_time);
    return service;
}

request_kind read_kind(const json::object& object)
{
    request_kind kind;
    kind.path_prefix = text_of(object.at("path_prefix"));
    for (const auto& name : object.at("services").as_array()) {
        kind.services.push_back(text_of(name));
    }
    kind.may_repeat = flag_of(object, "may_repeat");
    kind.is_dropped_at_times = flag_of(object, "is_dropped_at_times");
    kind.requests_per_second = number_of(object, "requests_per_second", kind.requests_per_second);
    kind.objects = number_of(object, "objects", kind.objects);
    kind.work = time_of(object, "work_ms", kind.work);
    kind.caller_wait = time_of(object, "caller_wait_ms", kind.caller_wait);
    kind.timeout = time_of(object, "timeout_ms", kind.timeout);
    kind.objective = time_of(object, "objective_ms", kind.objective);
    kind.priority = number_of(object, "priority", kind.priority);
    kind.max_attempts = number_of(object, "max_attempts", kind.max_attempts);
    return kind;
}

deployment read(const json::object& object)
{
    deployment made;
    for (const auto& domain : object.at("domains").as_array()) {
        made.domains.push_back(read_domain(domain.as_object()));
    }
    for (const auto& service : object.at("services").as_array()) {
        made.services.push_back(read_service(service.as_object()));
        made.services.back().upstreams.resize(made.domains.size());
    }
    for (const auto& kind : object.at("requests").as_array()) {
        made.kinds.push_back(read_kind(kind.as_object()));
    }
    made.retry_ratio = number_of(object, "retry_ratio", made.retry_ratio);
    made.retry_burst = number_of(object, "retry_burst", made.retry_burst);
    made.has_object_plan = flag_of(object, "object_plan");
    made.has_accounts = flag_of(object, "accounts");
    made.upload_share = number_of(object, "uploads", made.upload_share);
    made.revoke = time_of(object, "revoke_ms", made.revoke);
    made.drain = time_of(object, "drain_ms", made.drain);
    made.config_apply = time_of(object, "config_apply_ms", made.config_apply);
    made.stable_window = time_of(object, "stable_window_ms", made.stable_window);
    made.restores_store = flag_of(object, "restores_store");
    return made;
}
} // namespace

std::size_t deployment::gateway_count() const
{
    return std::accumulate(
        this->domains.begin(), this->domains.end(), std::size_t{0},
        [](std::size_t sum, const domain_description& domain) { return sum + domain.gateways; });
}

const domain_description& deployment::domain_of_gateway(std::size_t gateway) const
{
    std::size_t first = 0;
    for (const auto& domain : this->domains) {
        first += domain.gateways;
        if (gateway < first) {
            return domain;
        }
    }
    throw deployment_error("the deployment has no gateway " + std::to_string(gateway));
}

deployment read_deployment(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw deployment_error(path + " cannot be read");
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    try {
        return read(json::parse(text).as_object());
    } catch (const std::exception& failure) {
        throw deployment_error(path + ": " + failure.what());
    }
}
} // namespace buckthornhill::soak
