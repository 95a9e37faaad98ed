#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "health/health_types.h"

namespace buckthornhill::health {
//! Health of the upstreams that one instance owns. At most a third of a service's upstreams is ejected.
class health_monitor
{
public:
    explicit health_monitor(const health_configuration& configuration);

    void add(time_point now, const upstream_id& upstream, const service_id& service);
    void remove(const upstream_id& upstream);

    //! Both return whether the upstream's condition changed.
    bool on_success(time_point now, const upstream_id& upstream);
    bool on_failure(time_point now, const upstream_id& upstream);
    //! Records that the upstream itself or a peer announced that it is leaving; returns whether that is new.
    //! The mark is kept whichever instance owns the upstream.
    bool mark_leaving(const upstream_id& upstream);
    //! Ends the verification of upstreams that have not answered a probe; returns whether a condition
    //! changed.
    bool on_tick(time_point now);
    const std::set<upstream_id>& leaving() const { return this->leaving_upstreams; }
    //! Removes the leaving marks of upstreams for which `is_listed` returns false.
    void prune_leaving(const std::function<bool(const upstream_id&)>& is_listed);

    //! Sets the service's number of upstreams in the whole system and how many of them other instances have
    //! ejected.
    void set_service_counts(const service_id& service, std::size_t total, std::size_t ejected_elsewhere);
    std::size_t ejected_count(const service_id& service) const;

    condition condition_of(const upstream_id& upstream) const;
    //! Returns the upstreams that are due for a probe: those without traffic and those that are ejected. Each
    //! one is returned once per interval.
    std::vector<upstream_id> collect_due_probes(time_point now);
    //! Whether the last results of all upstreams were failures, which indicates a fault of this instance
    //! rather than of every upstream.
    bool are_all_failing() const;

private:
    struct upstream_health
    {
        service_id service;
        condition state = condition::unverified;
        int failures_in_row = 0;
        time_point last_result;
        time_point last_probe;
        time_point owned_since;
    };

    struct service_counts
    {
        std::size_t total = 0;
        std::size_t ejected_elsewhere = 0;
    };

    bool may_eject_another(const service_id& service) const;

    health_configuration configuration;
    std::map<upstream_id, upstream_health> upstreams;
    std::map<service_id, service_counts> services;
    std::set<upstream_id> leaving_upstreams;
};
} // namespace buckthornhill::health
