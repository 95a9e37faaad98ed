#pragma once

#include <map>
#include <vector>

#include "health/health_types.h"

namespace buckthornhill::health {
//! Health of the upstreams that one instance owns. Health signals eject at most a third of a service.
class health_monitor
{
public:
    explicit health_monitor(const health_configuration& configuration);

    void own(time_point now, const upstream_id& upstream, const service_id& service);
    void release(const upstream_id& upstream);

    //! Each returns whether the upstream's condition changed.
    bool on_success(time_point now, const upstream_id& upstream);
    bool on_failure(time_point now, const upstream_id& upstream);
    bool on_leaving_sign(const upstream_id& upstream);

    //! Size of the service in the whole system, and its upstreams that other instances have ejected.
    void set_service_view(const service_id& service, std::size_t total, std::size_t ejected_elsewhere);
    std::size_t ejected_count(const service_id& service) const;

    condition condition_of(const upstream_id& upstream) const;
    //! Upstreams that are due for a probe: quiet ones, and ejected ones. Each is returned once an interval.
    std::vector<upstream_id> take_due_probes(time_point now);
    //! Every upstream failed lately: the fault is likelier here than at all of them.
    bool suspects_itself() const;

private:
    struct upstream_health
    {
        service_id service;
        condition state = condition::healthy;
        int failures_in_row = 0;
        time_point last_signal;
        time_point last_probe;
    };

    struct service_view
    {
        std::size_t total = 0;
        std::size_t ejected_elsewhere = 0;
    };

    bool may_eject_another(const service_id& service) const;

    health_configuration configuration;
    std::map<upstream_id, upstream_health> upstreams;
    std::map<service_id, service_view> services;
};
} // namespace buckthornhill::health
