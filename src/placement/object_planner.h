#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "placement/object_plan.h"
#include "placement/object_plan_types.h"
#include "placement/object_ranking.h"
#include "placement/planned_load.h"
#include "placement/smoothed_demand.h"

namespace buckthornhill::placement {
//! Decides which upstream keeps which object warm, for the requests of one region. One instance does it for
//! all instances of the region, since each of them sees too few requests to know which upstream is busy.
//! Answers a load of many objects on few slots, where hashing alone leaves some upstreams with twice the
//! mean. An object moves only when its upstream is gone, or stays far busier than the others.
class object_planner
{
public:
    //! This instance plans from now on. It starts from its `copy` of the plan; without one it first waits for
    //! instances that have one.
    void begin(time_point now, const object_plan& copy, const instance_id& self);
    void cease();
    bool is_planning() const { return this->plans; }
    //! Of the plan that this instance makes; 0 while it makes none.
    std::uint64_t plan_epoch() const { return this->epoch; }
    plan_reply on_report(time_point now, const planning_view& view, const plan_report& report);
    void on_tick(time_point now, const planning_view& view);

    struct figures
    {
        std::uint64_t epoch = 0;
        std::size_t objects = 0;
        std::uint64_t moves = 0;      //!< since the start of the process
        double busiest_over_mean = 0; //!< of the planned demand for each weighted slot
    };
    figures state(const planning_view& view) const;

private:
    struct planned_object
    {
        explicit planned_object(time_point now)
            : demand(now)
            , asked_at(now)
        {
        }

        smoothed_demand demand;
        double planned_slots = 0; //!< counted in the load of the upstream
        upstream_id upstream;     //!< empty until it is placed
        std::uint64_t version = 0;
        time_point asked_at;
        time_point moved_at{};
    };
    using object_map = std::unordered_map<object_key, planned_object, object_key_hash>;
    using object_entry = object_map::value_type;

    struct recent_move
    {
        time_point at;
        double slots = 0; //!< that changed their region
    };

    void inherit(time_point now, const plan_update& copy);
    void record(time_point now, const std::vector<object_demand>& demand);
    plan_update changes_since(const plan_stamp& known) const;
    void set_upstream(object_entry& object, const upstream_id& upstream);
    void forget(const object_key& key);
    //! Assigns the next version to a change of the object that was last changed at `previous`.
    std::uint64_t log_change(const object_key& key, std::uint64_t previous);
    //! Starts placing objects in a plan of this epoch.
    void start(time_point now, std::uint64_t epoch);

    //! Forgets idle objects and computes the demand of the others anew.
    void refresh(time_point now, const planning_view& view);
    void remove_idle(time_point now);
    void update_usual_demand(time_point now);
    double usual_slots(const service_id& service) const;
    void place_all(time_point now, const planning_view& view);
    void place(time_point now, const planning_view& view, object_entry& object);
    //! The upstream for an object that has none; empty when the service has none.
    upstream_id choose(const planning_view& view, const object_key& key, double slots);
    //! The least loaded of the object's candidates that has room for it, in the region of `current` if
    //! possible; empty when none has.
    upstream_id choose_other(const planning_view& view, const object_entry& object);
    bool has_room(const planning_view& view, const service_id& service, const upstream_id& upstream,
                  double slots) const;
    std::vector<upstream_id> candidates(const planning_view& view, const object_key& key);

    //! Moves few objects away from upstreams that have long been far above the mean.
    void rebalance(time_point now, const planning_view& view);
    void note_busy(time_point now, const planning_view& view);
    bool move_one(time_point now, const planning_view& view, const upstream_id& busy);
    bool may_move(const planning_view& view, const upstream_id& from, const upstream_id& to,
                  double slots) const;

    bool plans = false;
    bool has_started = false; //!< placing objects
    instance_id self;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    time_point start_deadline{};
    time_point next_refresh{};
    time_point settled_at{}; //!< before, too little is known of the demand to move objects
    std::uint64_t moves = 0;
    object_map objects;
    std::map<std::uint64_t, object_key> changes; //!< by version: the last one of each object
    //! Versions at which objects that are no longer planned were removed.
    std::unordered_map<object_key, std::uint64_t, object_key_hash> removed;
    std::uint64_t complete_since = 0; //!< removals after this version are all in `removed`
    std::map<service_id, double> usual_demand;
    planned_load load;
    object_ranking ranking;
    std::unordered_map<upstream_id, time_point> busy_since;
    std::deque<recent_move> recent_moves;
};
} // namespace buckthornhill::placement
