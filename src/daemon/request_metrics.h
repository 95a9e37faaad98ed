#pragma once

#include <map>
#include <memory>
#include <string>

#include "admission/admission_types.h"
#include "global/ids.h"
#include "global/units.h"
#include "requests/requests_types.h"

namespace prometheus {
class Registry;
} // namespace prometheus

namespace buckthornhill::daemon {
//! Prometheus metrics of the request thread. Label values come from bounded sets.
class request_metrics
{
public:
    request_metrics(prometheus::Registry& registry, const region_id& region);
    ~request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;

    void record_response(const service_id& service, requests::outcome result,
                         admission::refusal_reason reason, duration took);
    void record_lookup();
    void record_heartbeat_bytes(std::size_t bytes);
    void set_gauge(const std::string& name, const service_id& service, double value);

private:
    struct families;
    struct service_metrics;

    service_metrics& metrics_of(const service_id& service);

    std::unique_ptr<families> metric_families;
    std::map<service_id, std::unique_ptr<service_metrics>> services;
};
} // namespace buckthornhill::daemon
