#include "placement/object_planner.h"

#include <algorithm>

namespace buckthornhill::placement {
namespace {
//! For an instance that begins to plan without a copy: within this time every live instance of the region
//! that sees new objects reports, and sends its copy if it has one.
constexpr std::chrono::milliseconds wait_for_copy{1500};
//! After a takeover, until the demand of most objects is known.
constexpr std::chrono::seconds settling_time{10};
//! A deployment has some thousand objects in a minute; further ones are left to the ranking.
constexpr std::size_t max_objects = 4096;
constexpr std::size_t max_removals = 4096; //!< after more of them, other instances get the whole plan
} // namespace

void object_planner::begin(time_point now, const object_plan& copy, const instance_id& own_id)
{
    this->cease();
    this->plans = true;
    this->self = own_id;
    this->start_deadline = now + wait_for_copy;
    if (copy.stamp().epoch > 0) {
        this->inherit(now, copy.whole());
    }
}

void object_planner::cease()
{
    this->plans = false;
    this->has_started = false;
    this->epoch = 0;
    this->version = 0;
    this->complete_since = 0;
    this->objects.clear();
    this->changes.clear();
    this->removed.clear();
    this->usual_demand.clear();
    this->load.clear();
    this->busy_since.clear();
    this->recent_moves.clear();
}

void object_planner::start(time_point now, std::uint64_t new_epoch)
{
    this->has_started = true;
    this->epoch = new_epoch;
    this->settled_at = now + settling_time;
    this->next_refresh = now;
}

void object_planner::inherit(time_point now, const plan_update& copy)
{
    for (const auto& [key, upstream] : copy.changes) {
        if (this->objects.size() >= max_objects && !this->objects.contains(key)) {
            continue;
        }
        const auto position = this->objects.try_emplace(key, planned_object(now)).first;
        if (position->second.upstream != upstream) {
            this->set_upstream(*position, upstream);
        }
    }
    this->start(now, copy.stamp.epoch + 1);
}

plan_reply object_planner::on_report(time_point now, const planning_view& view, const plan_report& report)
{
    plan_reply reply;
    reply.is_planning = this->plans;
    if (!this->plans) {
        return reply;
    }
    //! NOTE Another planner was active while this one was cut off or had not begun. Its placements are the
    //! ones in use.
    if (report.known.epoch > this->epoch) {
        if (report.copy && report.copy->stamp.epoch > this->epoch) {
            this->inherit(now, *report.copy);
        } else {
            reply.wants_copy = true;
            this->start_deadline = now + wait_for_copy;
        }
    }
    this->record(now, report.demand);
    this->on_tick(now, view);
    if (!this->has_started || reply.wants_copy) {
        return reply;
    }
    for (const auto& asked : report.demand) {
        const auto found = this->objects.find(asked.key);
        if (found != this->objects.end() && found->second.upstream.empty()) {
            this->load.add_demand(asked.key.service, found->second.planned_slots);
            this->place(now, view, *found);
        }
    }
    reply.update = this->changes_since(report.known);
    return reply;
}

void object_planner::record(time_point now, const std::vector<object_demand>& demand)
{
    for (const auto& asked : demand) {
        auto found = this->objects.find(asked.key);
        if (found == this->objects.end()) {
            if (this->objects.size() >= max_objects) {
                continue;
            }
            found = this->objects.emplace(asked.key, planned_object(now)).first;
        }
        auto& object = found->second;
        object.demand.add(now, asked.work);
        object.asked_at = now;
        if (object.upstream.empty()) {
            object.planned_slots = object.demand.slots(now, this->usual_slots(asked.key.service));
        }
    }
}

void object_planner::on_tick(time_point now, const planning_view& view)
{
    if (!this->plans) {
        return;
    }
    if (!this->has_started && now >= this->start_deadline) {
        this->start(now, 1);
    }
    this->refresh(now, view);
}

std::uint64_t object_planner::log_change(const object_key& key, std::uint64_t previous)
{
    this->changes.erase(previous);
    ++this->version;
    this->changes.emplace(this->version, key);
    return this->version;
}

void object_planner::set_upstream(object_entry& object, const upstream_id& upstream)
{
    auto& [key, state] = object;
    auto previous = state.version;
    const auto removal = this->removed.find(key);
    if (removal != this->removed.end()) {
        previous = removal->second;
        this->removed.erase(removal);
    }
    state.upstream = upstream;
    state.version = this->log_change(key, previous);
}

void object_planner::forget(const object_key& key)
{
    const auto found = this->objects.find(key);
    if (found->second.version > 0) {
        this->removed[key] = this->log_change(key, found->second.version);
    }
    this->objects.erase(found);
    if (this->removed.size() > max_removals) {
        for (const auto& [removed_key, removed_version] : this->removed) {
            this->changes.erase(removed_version);
        }
        this->removed.clear();
        this->complete_since = this->version;
    }
}

plan_update object_planner::changes_since(const plan_stamp& known) const
{
    plan_update update;
    update.stamp = {this->epoch, this->self, this->version};
    update.is_whole = known.epoch != this->epoch || known.planner != this->self ||
                      known.version < this->complete_since || known.version > this->version;
    const auto first = update.is_whole ? this->changes.begin() : this->changes.upper_bound(known.version);
    for (auto change = first; change != this->changes.end(); ++change) {
        const auto found = this->objects.find(change->second);
        const bool is_placed = found != this->objects.end() && !found->second.upstream.empty();
        if (is_placed || !update.is_whole) {
            update.changes.push_back({change->second, is_placed ? found->second.upstream : upstream_id()});
        }
    }
    return update;
}

object_planner::figures object_planner::state(const planning_view& view) const
{
    figures found{this->epoch, this->objects.size(), this->moves, 0};
    for (const auto& [key, object] : this->objects) {
        if (view.roster.find_usable(object.upstream) != nullptr) {
            found.busiest_over_mean = std::max(found.busiest_over_mean,
                                               this->load.over_mean(view, key.service, object.upstream, 0));
        }
    }
    return found;
}
} // namespace buckthornhill::placement
