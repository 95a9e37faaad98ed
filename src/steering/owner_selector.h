#pragma once

#include <map>
#include <set>

#include "steering/steering_types.h"

namespace buckthornhill::steering {
//! Chooses the owner that a request is sent to. Keeps the last report of each owner and counts the requests
//! sent since.
class owner_selector
{
public:
    owner_selector(instance_id self, place own_place, const steering_configuration& configuration,
                   random_hook random);

    void on_report(time_point now, const instance_id& owner, const place& where,
                   const admission::service_report& report, std::int64_t credits);
    //! Takes the owner's state from a response; the credits of its last report remain valid.
    void on_response_report(time_point now, const instance_id& owner,
                            const admission::service_report& report);
    void remove_owner(const instance_id& owner);
    void on_sent(const instance_id& owner, const service_id& service);
    void on_returned(const instance_id& owner, const service_id& service);
    //! The owner refused a request although its report showed free slots. It counts as full until its next
    //! report.
    void on_refused(const instance_id& owner, const service_id& service);

    //! `preferred` owns the upstream that served this target before; the owners in `tried` have already
    //! refused the request.
    steering_choice choose(time_point now, const service_id& service, const instance_id& preferred,
                           const std::set<instance_id>& tried);
    //! Slots in other regions that this instance could use now, for the next heartbeat.
    std::int64_t wanted_credits(time_point now, const service_id& service);
    //! Sum of waiting time, service time and network delay by the last report; 0 until a service time was
    //! measured.
    duration expected_response_time(const instance_id& owner, const service_id& service) const;
    bool is_shifting(const service_id& service) const;

private:
    struct owner_state
    {
        place where;
        admission::service_report report;
        time_point reported_at;
        std::int64_t credits = 0;
        std::int64_t outstanding = 0; //!< requests sent by this instance that have not returned
        std::int64_t outstanding_at_report = 0;
        bool is_full = false;
    };
    struct service_state
    {
        std::map<instance_id, owner_state> owners;
        bool is_shifting = false;
        time_point shift_changed_at{};
    };

    bool is_local(const owner_state& owner) const { return owner.where.region == this->own_place.region; }
    bool is_fresh(time_point now, const owner_state& owner) const;
    duration distance_to(const instance_id& id, const owner_state& owner) const;
    std::int64_t in_use(const owner_state& owner) const;
    bool has_room(const owner_state& owner) const;
    duration cost_of(const instance_id& id, const owner_state& owner) const;
    duration wait_at(const owner_state& owner) const;
    duration local_wait(time_point now, const service_state& service) const;
    double local_utilization(const service_state& service) const;
    void update_shift(time_point now, service_state& service) const;
    const instance_id* best_local(time_point now, const service_state& service, const instance_id& preferred,
                                  const std::set<instance_id>& tried) const;
    //! Picks one of `candidates` at random, weighted by its slots.
    const instance_id*
    pick_weighted(const std::vector<std::pair<const instance_id*, std::int64_t>>& candidates) const;
    //! True if the request should go to another region although `local` could serve it.
    bool prefers_remote(const service_state& service, const instance_id& local,
                        const std::set<instance_id>& tried) const;
    const instance_id* best_remote(time_point now, const service_state& service,
                                   const std::set<instance_id>& tried) const;

    instance_id self;
    place own_place;
    steering_configuration configuration;
    random_hook random;
    std::map<service_id, service_state> services;
};
} // namespace buckthornhill::steering
