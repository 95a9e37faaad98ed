#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "capacity/work_reference.h"
#include "placement/cold_upstream_limiter.h"
#include "placement/object_demand_counter.h"
#include "placement/object_plan.h"
#include "placement/object_ranking.h"
#include "placement/region_plan.h"
#include "placement/upstream_load.h"
#include "placement/work_times.h"

namespace buckthornhill::placement {
//! Chooses the upstream with the lowest cost: the expected latency, which depends on its queue, on whether it
//! handled the object lately, on its distance and on its health, and the delay of later requests. Only the
//! top-ranked upstreams of the request's object are considered, after the planned one if the object is
//! planned; the rest of the pool is used when those have no room.
class upstream_picker
{
public:
    upstream_picker(instance_id self, place where, const placement_configuration& configuration);

    //! Counts a request for the report to the planner.
    void on_arrival(const placement_request& request);
    placement_choice pick(time_point now, const fleet::upstream_roster& roster,
                          const placement_request& request);
    void on_sent(time_point now, const fleet::upstream_roster& roster, const placement_request& request,
                 const upstream_id& upstream);
    void on_finished(time_point now, const placement_request& request, const placement_choice& choice,
                     upstream_attempt_result result, duration took);
    void on_report(time_point now, const upstream_id& upstream, const load_report& report);
    //! An upstream responded to this request with a load report. Returns what is known of its capacity when
    //! that has changed enough to be logged; always empty unless capacities are learned.
    std::optional<capacity::capacity_estimate> on_work(time_point now, const placement_request& request,
                                                       const placement_choice& choice, duration took,
                                                       const load_report& report);
    //! Of the upstreams about which something was learned.
    std::vector<upstream_estimate> learned_capacities(time_point now) const;
    signal_effects on_signals(time_point now, const upstream_id& upstream, const upstream_signals& signals);
    void set_instances(time_point now, const std::vector<known_instance>& known)
    {
        this->cold_limiter.set_instances(now, known);
        this->plan.set_instances(now, known);
    }
    //! This instance and all others that were known lately, live or not.
    std::size_t lately_known_instances() const { return this->cold_limiter.lately_known_count(); }
    void on_tick(time_point now, const fleet::upstream_roster& roster);

    const upstream_load* find_load(const upstream_id& upstream) const;
    object_plan& planned_objects() { return this->objects; }
    const object_plan& planned_objects() const { return this->objects; }
    object_demand_counter& demand() { return this->object_demands; }
    region_plan& regions() { return this->plan; }

private:
    upstream_load& load_of(const fleet::upstream_entry& entry);
    work_times& times_of(const placement_request& request);
    //! How it is decided whether an object is warm at an upstream.
    enum class warmth {
        assumed,    //!< the other instances of the region send requests for the object there too
        remembered, //!< warm if this instance sent requests for the object there lately
        denied      //!< the object is planned elsewhere
    };
    struct search_state
    {
        const upstream_id* planned = nullptr; //!< null when the ranking decides alone
        placement_choice best;
        std::size_t evaluated = 0;
    };

    //! The upstream on which the request's object is planned, if the request may be sent there.
    const upstream_id* planned_upstream(time_point now, const fleet::upstream_roster& roster,
                                        const placement_request& request);
    //! Evaluates one upstream. Returns true when no other need be.
    bool consider(time_point now, const fleet::upstream_roster& roster, const placement_request& request,
                  const upstream_id& id, warmth belief, search_state& state);
    //! Evaluates the upstreams in `order` from index `from` on, except for the planned one. Returns true when
    //! the rest of the pool need not be searched.
    bool search(time_point now, const fleet::upstream_roster& roster, const placement_request& request,
                const std::vector<upstream_id>& order, std::size_t from, search_state& state);
    placement_choice evaluate(time_point now, const fleet::upstream_roster& roster,
                              const placement_request& request, const upstream_id& id, warmth belief);
    bool is_allowed(time_point now, const fleet::upstream_roster& roster, const placement_request& request,
                    const upstream_id& id);
    duration round_trip(const place& where) const;
    //! Requests per slot; a queue at an upstream that is `speed` times as fast as usual takes no longer.
    double load_limit(int priority, double speed) const;

    std::uint64_t self_hash;
    place self;
    placement_configuration configuration;
    region_plan plan;
    object_ranking ranking;
    object_plan objects;
    object_demand_counter object_demands;
    cold_upstream_limiter cold_limiter;
    std::unordered_map<upstream_id, upstream_load> loads;
    std::map<std::string, work_times> times;
    std::map<std::pair<service_id, std::string>, capacity::work_reference>
        references; //!< by service and route
    time_point next_cleanup_at{};
};
} // namespace buckthornhill::placement
