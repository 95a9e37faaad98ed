#include <algorithm>
#include <cmath>

#include "placement/object_planner.h"

namespace buckthornhill::placement {
namespace {
constexpr std::chrono::milliseconds refresh_interval{500};
//! Its upstream has handled others since and has dropped it.
constexpr std::chrono::seconds object_retention{60};
//! Top-ranked upstreams on which an object may be placed. With four, as many as 12 of 100 objects of a load
//! of three regions had to change their region to find room; with twelve 4 of 100.
constexpr std::size_t max_candidates = object_ranking::max_top_ranked;
//! An object is placed on its first candidate up to this load, relative to the mean.
constexpr double placement_limit = 1.2;
//! An upstream that stays above this load for the time below gives objects away. Lower limits move objects
//! because of random differences between their requests, and each move costs cold work.
constexpr double busy_limit = 1.5;
constexpr std::chrono::seconds busy_time{5};
constexpr std::chrono::seconds min_time_between_moves{30}; //!< of one object
//! A moved object is cold once, so moves must be few. The part of the requests that change their region
//! stays far below the 15 % that may do so within two seconds.
constexpr std::chrono::seconds move_window{2};
constexpr std::size_t max_moves_per_window = 8;
constexpr double max_region_change_share = 0.05;
constexpr double default_usual_slots = 0.1; //!< before any object has been observed
constexpr double min_observed_time_s = 1;   //!< of all objects of a service together, for their mean
} // namespace

void object_planner::refresh(time_point now, const planning_view& view)
{
    if (now < this->next_refresh) {
        return;
    }
    this->next_refresh = now + refresh_interval;
    this->remove_idle(now);
    this->update_usual_demand(now);
    this->load.clear();
    for (auto& [key, object] : this->objects) {
        object.planned_slots = object.demand.slots(now, this->usual_slots(key.service));
        this->load.add_demand(key.service, object.planned_slots);
        const auto* known = object.upstream.empty() ? nullptr : view.roster.find_usable(object.upstream);
        if (known != nullptr && known->entry.service == key.service) {
            this->load.place(object.upstream, object.planned_slots);
        }
    }
    if (this->has_started) {
        this->place_all(now, view);
        this->rebalance(now, view);
    }
}

void object_planner::remove_idle(time_point now)
{
    std::vector<object_key> idle;
    for (const auto& [key, object] : this->objects) {
        if (now - object.asked_at > object_retention) {
            idle.push_back(key);
        }
    }
    for (const auto& key : idle) {
        this->forget(key);
    }
}

void object_planner::update_usual_demand(time_point now)
{
    std::map<service_id, std::pair<double, double>> observed;
    for (const auto& [key, object] : this->objects) {
        auto& [work_s, time_s] = observed[key.service];
        work_s += object.demand.weighted_work_s(now);
        time_s += object.demand.weighted_time_s(now);
    }
    this->usual_demand.clear();
    for (const auto& [service, sums] : observed) {
        if (sums.first > 0 && sums.second >= min_observed_time_s) {
            this->usual_demand[service] = sums.first / sums.second;
        }
    }
}

double object_planner::usual_slots(const service_id& service) const
{
    const auto found = this->usual_demand.find(service);
    return found == this->usual_demand.end() ? default_usual_slots : found->second;
}

void object_planner::place_all(time_point now, const planning_view& view)
{
    std::vector<object_entry*> unplaced;
    for (auto& object : this->objects) {
        const auto& upstream = object.second.upstream;
        const auto* known = upstream.empty() ? nullptr : view.roster.find_usable(upstream);
        if (known == nullptr || known->entry.service != object.first.service) {
            unplaced.push_back(&object);
        }
    }
    //! NOTE Small objects even out what large ones leave, so large ones come first.
    std::ranges::sort(unplaced, [](const auto* a, const auto* b) {
        return a->second.planned_slots != b->second.planned_slots
                   ? a->second.planned_slots > b->second.planned_slots
                   : a->first.object < b->first.object;
    });
    for (auto* object : unplaced) {
        this->place(now, view, *object);
    }
}

void object_planner::place(time_point now, const planning_view& view, object_entry& object)
{
    auto& [key, state] = object;
    const auto chosen = this->choose(view, key, state.planned_slots);
    if (!state.upstream.empty()) {
        state.moved_at = now;
        ++this->moves;
    }
    if (chosen != state.upstream) {
        this->set_upstream(object, chosen);
    }
    if (!chosen.empty()) {
        this->load.place(chosen, state.planned_slots);
    }
}

std::vector<upstream_id> object_planner::candidates(const planning_view& view, const object_key& key)
{
    const auto& ranked = this->ranking.top_ranked(view.roster, view.regions, key.service, key.object);
    const auto count = static_cast<std::ptrdiff_t>(std::min(max_candidates, ranked.size()));
    return {ranked.begin(), ranked.begin() + count};
}

bool object_planner::has_room(const planning_view& view, const service_id& service,
                              const upstream_id& upstream, double slots) const
{
    //! NOTE A large object exceeds the limit anywhere.
    return this->load.objects_at(upstream) == 0 ||
           this->load.over_mean(view, service, upstream, slots) <= placement_limit;
}

upstream_id object_planner::choose(const planning_view& view, const object_key& key, double slots)
{
    const auto found = this->candidates(view, key);
    if (found.empty()) {
        return {};
    }
    if (this->has_room(view, key.service, found.front(), slots)) {
        return found.front();
    }
    const auto& region = view.roster.find_usable(found.front())->entry.where.region;
    const upstream_id* nearby = nullptr;
    const upstream_id* anywhere = nullptr;
    const auto is_less_loaded = [&](const upstream_id& id, const upstream_id* other) {
        return other == nullptr || this->load.over_mean(view, key.service, id, slots) <
                                       this->load.over_mean(view, key.service, *other, slots);
    };
    for (const auto& id : found) {
        if (is_less_loaded(id, anywhere)) {
            anywhere = &id;
        }
        if (view.roster.find_usable(id)->entry.where.region == region && is_less_loaded(id, nearby)) {
            nearby = &id;
        }
    }
    //! NOTE The plan of the regions says how many requests run in each; the least loaded candidate would
    //! change that where one of the same region has room too.
    return this->has_room(view, key.service, *nearby, slots) ? *nearby : *anywhere;
}

upstream_id object_planner::choose_other(const planning_view& view, const object_entry& object)
{
    const auto& [key, state] = object;
    const auto& region = view.roster.find_usable(state.upstream)->entry.where.region;
    upstream_id best;
    bool is_best_nearby = false;
    double lowest = 0;
    for (const auto& id : this->candidates(view, key)) {
        const bool is_excluded =
            id == state.upstream || !this->has_room(view, key.service, id, state.planned_slots);
        if (is_excluded) {
            continue;
        }
        const bool is_nearby = view.roster.find_usable(id)->entry.where.region == region;
        const double over_mean = this->load.over_mean(view, key.service, id, state.planned_slots);
        const bool is_better = best.empty() || (is_nearby && !is_best_nearby) ||
                               (is_nearby == is_best_nearby && over_mean < lowest);
        if (is_better) {
            best = id;
            is_best_nearby = is_nearby;
            lowest = over_mean;
        }
    }
    return best;
}

void object_planner::note_busy(time_point now, const planning_view& view)
{
    std::unordered_map<upstream_id, time_point> busy;
    for (const auto& [key, object] : this->objects) {
        const bool is_busy = !object.upstream.empty() && this->load.objects_at(object.upstream) > 1 &&
                             this->load.over_mean(view, key.service, object.upstream, 0) > busy_limit;
        if (is_busy) {
            const auto since = this->busy_since.find(object.upstream);
            busy.emplace(object.upstream, since == this->busy_since.end() ? now : since->second);
        }
    }
    this->busy_since = std::move(busy);
}

void object_planner::rebalance(time_point now, const planning_view& view)
{
    this->note_busy(now, view);
    while (!this->recent_moves.empty() && now - this->recent_moves.front().at > move_window) {
        this->recent_moves.pop_front();
    }
    if (now < this->settled_at) {
        return;
    }
    std::vector<upstream_id> busy;
    for (const auto& [upstream, since] : this->busy_since) {
        if (now - since >= busy_time) {
            busy.push_back(upstream);
        }
    }
    std::ranges::sort(busy, [this](const auto& a, const auto& b) {
        const double demand_a = this->load.demand_at(a);
        const double demand_b = this->load.demand_at(b);
        return demand_a != demand_b ? demand_a > demand_b : a < b;
    });
    for (const auto& upstream : busy) {
        if (this->recent_moves.size() >= max_moves_per_window) {
            return;
        }
        this->move_one(now, view, upstream);
    }
}

bool object_planner::may_move(const planning_view& view, const upstream_id& from, const upstream_id& to,
                              double slots) const
{
    if (view.roster.find_usable(from)->entry.where.region ==
        view.roster.find_usable(to)->entry.where.region) {
        return true;
    }
    double changed = slots;
    for (const auto& move : this->recent_moves) {
        changed += move.slots;
    }
    return changed <= max_region_change_share * this->load.total_demand();
}

bool object_planner::move_one(time_point now, const planning_view& view, const upstream_id& busy)
{
    std::vector<object_entry*> movable;
    for (auto& object : this->objects) {
        const bool moved_lately =
            object.second.moved_at != time_point{} && now - object.second.moved_at < min_time_between_moves;
        if (object.second.upstream == busy && !moved_lately) {
            movable.push_back(&object);
        }
    }
    if (movable.empty()) {
        return false;
    }
    const auto& service = movable.front()->first.service;
    const double excess = this->load.demand_at(busy) - this->load.mean_demand(view, service, busy);
    std::ranges::sort(movable, [excess](const auto* a, const auto* b) {
        const double distance_a = std::abs(a->second.planned_slots - excess);
        const double distance_b = std::abs(b->second.planned_slots - excess);
        return distance_a != distance_b ? distance_a < distance_b : a->first.object < b->first.object;
    });
    for (auto* object : movable) {
        auto& state = object->second;
        const auto target = this->choose_other(view, *object);
        if (target.empty() || !this->may_move(view, busy, target, state.planned_slots)) {
            continue;
        }
        const bool changes_region = view.roster.find_usable(busy)->entry.where.region !=
                                    view.roster.find_usable(target)->entry.where.region;
        this->recent_moves.push_back({now, changes_region ? state.planned_slots : 0});
        this->load.remove(busy, state.planned_slots);
        this->load.place(target, state.planned_slots);
        state.moved_at = now;
        ++this->moves;
        this->set_upstream(*object, target);
        return true;
    }
    return false;
}
} // namespace buckthornhill::placement
