#include "health/health_monitor.h"

#include <algorithm>

namespace buckthornhill::health {
health_monitor::health_monitor(const health_configuration& settings)
    : configuration(settings)
{
}

void health_monitor::add(time_point now, const upstream_id& upstream, const service_id& service)
{
    auto [position, is_new] = this->upstreams.try_emplace(upstream);
    if (is_new) {
        //! NOTE A new upstream is probed at once because its load is not known yet.
        const auto long_ago = now - this->configuration.quiet_before_probe;
        position->second = {service, condition::unverified, 0, long_ago, long_ago, now};
    }
}

void health_monitor::remove(const upstream_id& upstream)
{
    this->upstreams.erase(upstream);
}

bool health_monitor::on_success(time_point now, const upstream_id& upstream)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return false;
    }
    auto& record = found->second;
    record.failures_in_row = 0;
    record.last_result = now;
    if (record.state == condition::healthy) {
        return false;
    }
    record.state = condition::healthy;
    return true;
}

bool health_monitor::on_tick(time_point now)
{
    bool has_changed = false;
    for (auto& [id, record] : this->upstreams) {
        const bool is_overdue = now - record.owned_since >= this->configuration.verification_timeout;
        if (record.state == condition::unverified && is_overdue) {
            record.state = condition::healthy;
            has_changed = true;
        }
    }
    return has_changed;
}

void health_monitor::set_service_counts(const service_id& service, std::size_t total,
                                        std::size_t ejected_elsewhere)
{
    this->services[service] = {total, ejected_elsewhere};
}

std::size_t health_monitor::ejected_count(const service_id& service) const
{
    return static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto& item) {
            return item.second.service == service && item.second.state == condition::ejected;
        }));
}

bool health_monitor::may_eject_another(const service_id& service) const
{
    const auto counts = this->services.find(service);
    if (counts == this->services.end()) {
        return false;
    }
    const auto ejected = this->ejected_count(service) + counts->second.ejected_elsewhere;
    const auto allowed = this->configuration.max_ejected_fraction * static_cast<double>(counts->second.total);
    return static_cast<double>(ejected + 1) <= allowed;
}

bool health_monitor::on_failure(time_point now, const upstream_id& upstream)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return false;
    }
    auto& record = found->second;
    ++record.failures_in_row;
    record.last_result = now;
    const bool has_reached_limit = record.failures_in_row >= this->configuration.failures_to_eject;
    if (record.state != condition::healthy || !has_reached_limit ||
        !this->may_eject_another(record.service)) {
        return false;
    }
    record.state = condition::ejected;
    return true;
}

bool health_monitor::mark_leaving(const upstream_id& upstream)
{
    return this->leaving_upstreams.insert(upstream).second;
}

void health_monitor::prune_leaving(const std::function<bool(const upstream_id&)>& is_listed)
{
    std::erase_if(this->leaving_upstreams, [&](const upstream_id& id) { return !is_listed(id); });
}

condition health_monitor::condition_of(const upstream_id& upstream) const
{
    if (this->leaving_upstreams.contains(upstream)) {
        return condition::leaving;
    }
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? condition::unverified : found->second.state;
}

std::vector<upstream_id> health_monitor::collect_due_probes(time_point now)
{
    std::vector<upstream_id> due;
    for (auto& [id, record] : this->upstreams) {
        const bool is_ejected = record.state == condition::ejected;
        const duration interval =
            is_ejected ? this->configuration.probe_interval_ejected : this->configuration.quiet_before_probe;
        const bool is_quiet = is_ejected || now - record.last_result >= interval;
        if (is_quiet && now - record.last_probe >= interval) {
            record.last_probe = now;
            due.push_back(id);
        }
    }
    return due;
}

bool health_monitor::are_all_failing() const
{
    return this->upstreams.size() > 1 &&
           std::all_of(this->upstreams.begin(), this->upstreams.end(),
                       [](const auto& item) { return item.second.failures_in_row > 0; });
}
} // namespace buckthornhill::health
