#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "global/units.h"
#include "placement/placement_types.h"

namespace prometheus {
class Registry;
}

namespace buckthornhill::gateway {
//! Counters and latency histograms of the gateway. The number of label values is bounded.
class gateway_metrics
{
public:
    explicit gateway_metrics(prometheus::Registry& registry);
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;

    void on_response(const std::string& route, const std::string& outcome, duration elapsed);
    //! A request was refused or rejected; `reason` has few values.
    void on_refused(const std::string& reason);
    void on_lookup();
    //! An upstream began or ceased to say something of itself in its responses; `signal` has few values.
    void on_upstream_signal(const std::string& signal);
    //! An upstream whose connection was lost has ended or not.
    void on_connection_lost(bool has_ended);
    //! Tokens of account limits; `kind` has few values.
    void on_limit_tokens(const std::string& kind, std::uint64_t count);
    void set_gauge(const std::string& name, double value);
    //! Replaces the learned capacities of all upstreams; of many, only the first ones are kept.
    void set_capacities(const std::vector<placement::upstream_estimate>& known);

private:
    struct families;
    struct route_metrics;
    struct capacity_metrics;

    std::unique_ptr<families> registered;
    std::map<std::string, std::unique_ptr<route_metrics>> routes;
    std::map<std::string, capacity_metrics> capacities; //!< by upstream
};
} // namespace buckthornhill::gateway
