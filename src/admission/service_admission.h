#pragma once

#include <map>
#include <unordered_map>

#include "admission/credit_ledger.h"
#include "admission/smoothed_level.h"
#include "admission/upstream_slots.h"
#include "admission/waiting_queue.h"

namespace buckthornhill::admission {
//! Admission at one owner for one service: its upstreams, its queue and its credits.
class service_admission
{
public:
    service_admission(service_id service, const admission_configuration& configuration, random_hook random);

    //! Adds an owned upstream, or updates its description if it is owned already.
    void own(time_point now, const ownership::upstream_description& upstream);
    //! Ends the ownership of an upstream: it gets no new requests, and those that run there can finish.
    void release(time_point now, const upstream_id& upstream);
    void set_admittance(time_point now, const upstream_id& upstream, admittance value);
    void on_load_report(time_point now, const upstream_id& upstream, std::int64_t in_use);
    void restart_slow_starts(time_point now);
    void set_paused(bool value) { this->is_paused = value; }

    admission_decision offer(time_point now, const admission_request& request);
    void on_finish(time_point now, flow_id flow, attempt_result result);
    //! Removes a waiting request; a running request is not affected.
    bool withdraw(flow_id flow);
    void on_tick(time_point now);
    std::vector<admission_event> take_events() { return std::exchange(this->events, {}); }

    void on_credit_request(time_point now, const instance_id& instance, std::int64_t wanted);
    //! Limits the slots that requests of other regions may use here at the same time.
    void set_remote_cap(std::int64_t slots) { this->remote_cap = slots; }
    //! Grants the spare slots to the instances that asked for credits.
    void grant_credits(time_point now);
    std::int64_t granted_to(time_point now, const instance_id& instance) const;
    std::int64_t remote_in_flight() const { return this->credits.in_flight() + this->direct_remote; }

    service_report report(time_point now);
    bool owns(const upstream_id& upstream) const;
    const std::map<upstream_id, upstream_slots>& upstreams() const { return this->owned; }
    bool is_idle() const { return this->running.empty() && this->queue.size() == 0; }

private:
    struct running_request
    {
        upstream_id upstream;
        request_origin origin = request_origin::local;
        instance_id from;
        time_point started_at;
    };

    //! True if the first probe of some upstream has not ended yet.
    bool has_unverified() const;
    upstream_slots* choose_upstream(time_point now, const admission_request& request);
    admission_decision start(time_point now, const admission_request& request, upstream_slots& upstream);
    admission_decision offer_remote(time_point now, const admission_request& request);
    admission_decision enqueue(time_point now, const admission_request& request);
    admission_decision refuse(time_point now, refusal_reason reason, request_class priority);
    void start_waiting(time_point now);
    void resize_queue(time_point now);
    void refuse_expired(time_point now);
    bool uses_credit(const admission_request& request) const;
    std::int64_t total_limit(time_point now) const;
    std::int64_t total_slots() const;
    std::int64_t total_in_flight() const;
    std::int64_t local_in_flight() const;
    std::int64_t headroom() const;
    std::int64_t spare(time_point now);
    duration estimated_wait(time_point now, request_class priority) const;
    void observe_local(time_point now);

    service_id service;
    admission_configuration configuration;
    random_hook random;
    std::map<upstream_id, upstream_slots> owned;
    std::map<upstream_id, bool> released; //!< no longer owned, but with requests still running
    std::unordered_map<flow_id, running_request> running;
    waiting_queue queue;
    credit_ledger credits;
    smoothed_level local_demand; //!< slots that requests of this region use or wait for
    std::int64_t remote_cap = 0;
    std::int64_t direct_remote = 0; //!< requests of other regions' callers that no entry instance forwarded
    double mean_service_us = 0;
    bool is_paused = false;
    std::vector<admission_event> events;
};
} // namespace buckthornhill::admission
