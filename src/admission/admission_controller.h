#pragma once

#include <map>
#include <unordered_map>

#include "admission/service_admission.h"

namespace buckthornhill::admission {
//! Admission at one owner for all services of which it owns upstreams.
class admission_controller
{
public:
    admission_controller(const admission_configuration& configuration, random_hook random);

    void own(time_point now, const ownership::upstream_description& upstream);
    //! Releases every upstream that is not in `keep`.
    void release_all_but(time_point now, const std::vector<upstream_id>& keep);
    void set_admittance(time_point now, const service_id& service, const upstream_id& upstream,
                        admittance value);
    void on_load_report(time_point now, const service_id& service, const upstream_id& upstream,
                        std::int64_t in_use);
    void restart_slow_starts(time_point now);
    //! While paused no request is started, including waiting ones; waiting requests still expire.
    void set_paused(bool value);

    admission_decision offer(time_point now, const admission_request& request);
    void on_finish(time_point now, const service_id& service, flow_id flow, attempt_result result);
    bool withdraw(const service_id& service, flow_id flow);
    void on_tick(time_point now);
    std::vector<admission_event> take_events();

    service_admission* find(const service_id& service);
    const std::map<service_id, service_admission>& services() const { return this->by_service; }
    std::map<service_id, service_admission>& services() { return this->by_service; }
    std::vector<service_report> reports(time_point now);

private:
    admission_configuration configuration;
    random_hook random;
    std::map<service_id, service_admission> by_service;
};
} // namespace buckthornhill::admission
