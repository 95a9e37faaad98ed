#include "admission/admission_controller.h"

#include <algorithm>

namespace buckthornhill::admission {
admission_controller::admission_controller(const admission_configuration& settings, random_hook source)
    : configuration(settings)
    , random(std::move(source))
{
}

void admission_controller::own(time_point now, const ownership::upstream_description& upstream)
{
    auto found = this->by_service.find(upstream.service);
    if (found == this->by_service.end()) {
        found = this->by_service
                    .emplace(upstream.service,
                             service_admission(upstream.service, this->configuration, this->random))
                    .first;
    }
    found->second.own(now, upstream);
}

void admission_controller::release_all_but(time_point now, const std::vector<upstream_id>& keep)
{
    for (auto& [name, service] : this->by_service) {
        std::vector<upstream_id> released;
        for (const auto& [id, upstream] : service.upstreams()) {
            if (std::find(keep.begin(), keep.end(), id) == keep.end()) {
                released.push_back(id);
            }
        }
        for (const auto& id : released) {
            service.release(now, id);
        }
    }
}

service_admission* admission_controller::find(const service_id& service)
{
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? nullptr : &found->second;
}

void admission_controller::set_admittance(time_point now, const service_id& service,
                                          const upstream_id& upstream, admittance value)
{
    if (auto* found = this->find(service)) {
        found->set_admittance(now, upstream, value);
    }
}

void admission_controller::on_load_report(time_point now, const service_id& service,
                                          const upstream_id& upstream, std::int64_t in_use)
{
    if (auto* found = this->find(service)) {
        found->on_load_report(now, upstream, in_use);
    }
}

void admission_controller::restart_slow_starts(time_point now)
{
    for (auto& [name, service] : this->by_service) {
        service.restart_slow_starts(now);
    }
}

void admission_controller::set_paused(bool value)
{
    for (auto& [name, service] : this->by_service) {
        service.set_paused(value);
    }
}

admission_decision admission_controller::offer(time_point now, const admission_request& request)
{
    auto* found = this->find(request.service);
    if (found == nullptr) {
        return {admission_kind::refused, {}, refusal_reason::no_upstream, {}};
    }
    return found->offer(now, request);
}

void admission_controller::on_finish(time_point now, const service_id& service, flow_id flow,
                                     attempt_result result)
{
    if (auto* found = this->find(service)) {
        found->on_finish(now, flow, result);
    }
}

bool admission_controller::withdraw(const service_id& service, flow_id flow)
{
    auto* found = this->find(service);
    return found != nullptr && found->withdraw(flow);
}

void admission_controller::on_tick(time_point now)
{
    for (auto& [name, service] : this->by_service) {
        service.on_tick(now);
    }
}

std::vector<admission_event> admission_controller::take_events()
{
    std::vector<admission_event> all;
    for (auto& [name, service] : this->by_service) {
        auto events = service.take_events();
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

std::vector<service_report> admission_controller::reports(time_point now)
{
    std::vector<service_report> reports;
    reports.reserve(this->by_service.size());
    for (auto& [name, service] : this->by_service) {
        reports.push_back(service.report(now));
    }
    return reports;
}
} // namespace buckthornhill::admission
