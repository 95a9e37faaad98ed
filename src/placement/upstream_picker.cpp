#include "placement/upstream_picker.h"

#include <algorithm>
#include <limits>

#include "global/hash.h"

namespace buckthornhill::placement {
namespace {
//! After a failure the caller needs a second attempt; the failure costs about this many times the work.
constexpr double failure_cost_factor = 2.0;
//! The longer work on a cold object delays the requests behind it; this part of the extra time is counted.
constexpr double cold_delay_factor = 0.5;
//! An object that this instance takes for cold may be warm through another one, which takes a third of the
//! time.
constexpr double cold_sample_weight = 0.5;
constexpr std::chrono::seconds signal_memory{60};   //!< for upstreams that are not usable
constexpr std::chrono::seconds cleanup_interval{1}; //!< between removals of the state of unlisted upstreams

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}
} // namespace

upstream_picker::upstream_picker(instance_id self_id, place where, const placement_configuration& settings)
    : self_hash(hash_text(self_id.str()))
    , self(std::move(where))
    , configuration(settings)
    , plan(this->self.region)
    , cold_limiter(std::move(self_id))
{
}

upstream_load& upstream_picker::load_of(const fleet::upstream_entry& entry)
{
    auto [position, is_new] = this->loads.try_emplace(entry.id, this->configuration, entry.started_at_ms);
    const bool is_other_run = !is_new && position->second.run_started_at_ms() != entry.started_at_ms;
    if (is_other_run && position->second.own_in_flight() == 0) {
        position->second = upstream_load(this->configuration, entry.started_at_ms);
    }
    return position->second;
}

const upstream_load* upstream_picker::find_load(const upstream_id& upstream) const
{
    const auto found = this->loads.find(upstream);
    return found == this->loads.end() ? nullptr : &found->second;
}

work_times& upstream_picker::times_of(const placement_request& request)
{
    return this->times.try_emplace(request.route, request.objective).first->second;
}

duration upstream_picker::round_trip(const place& where) const
{
    switch (proximity_of(this->self, where)) {
    case proximity::same_domain:
        return {};
    case proximity::same_region:
        return 2 * this->configuration.domain_distance;
    case proximity::other_region:
        return 2 * this->configuration.region_distance;
    }
    return {};
}

double upstream_picker::load_limit(int priority, double speed) const
{
    const auto& limits = this->configuration.load_limit_by_priority;
    const double limit = limits[std::min(static_cast<std::size_t>(std::max(0, priority)), limits.size() - 1)];
    return speed < 1 ? 1 + (limit - 1) * speed : limit;
}

bool upstream_picker::is_allowed(time_point now, const fleet::upstream_roster& roster,
                                 const placement_request& request, const upstream_id& id)
{
    const auto* known = roster.find_usable(id);
    if (known == nullptr ||
        std::ranges::find(request.excluded_upstreams, id) != request.excluded_upstreams.end()) {
        return false;
    }
    const bool has_region_limit = request.allowed_regions != nullptr && !request.allowed_regions->empty();
    if (has_region_limit && !request.allowed_regions->contains(known->entry.where.region)) {
        return false;
    }
    if (this->load_of(known->entry).is_ejected(now)) {
        return false;
    }
    const bool is_limited = request.cold_requests_per_second > 0 && roster.is_cold(now, id);
    return !is_limited || this->cold_limiter.may_send(now, id, request.cold_requests_per_second);
}

placement_choice upstream_picker::evaluate(time_point now, const fleet::upstream_roster& roster,
                                           const placement_request& request, const upstream_id& id,
                                           warmth belief)
{
    const auto& entry = roster.find_usable(id)->entry;
    const auto& load = this->load_of(entry);
    const auto& route_times = this->times_of(request);
    const double estimated_load = load.estimated_requests(now);
    placement_choice choice;
    choice.upstream = id;
    choice.slots = std::max(entry.slots, slot_count(1));
    const auto capacity = load.capacity(now, choice.slots);
    choice.load_at_sending = load.recently_reported_requests(now);
    choice.is_warm = !request.has_affinity || belief == warmth::assumed ||
                     (belief == warmth::remembered && load.handled_recently(request.object));
    const auto usual_work = choice.is_warm ? route_times.warm() : route_times.cold();
    //! NOTE Both slowness, which follows a change within some responses, and the learned speed, which is kept
    //! for some minutes, measure how slow the upstream is, so they are not multiplied.
    const double slowness = load.slowness(now);
    const double time_factor = slowness > 1 ? std::max(slowness, 1 / capacity.speed) : 1 / capacity.speed;
    choice.expected_work = scaled(usual_work, time_factor);
    choice.distance = this->round_trip(entry.where);
    const double queue_ahead = std::max(0.0, estimated_load + 1 - capacity.limit) / capacity.limit;
    choice.expected_latency = choice.expected_work + scaled(route_times.warm(), queue_ahead * time_factor) +
                              choice.distance +
                              scaled(choice.expected_work, failure_cost_factor * load.failure_share(now));
    choice.usual_latency = usual_work + scaled(route_times.warm(), queue_ahead) + choice.distance;
    const auto time_until_send = load.time_until_send(now);
    choice.expected_latency += time_until_send;
    choice.cost = choice.expected_latency;
    if (!choice.is_warm) {
        choice.cost += scaled(route_times.cold() - route_times.warm(), cold_delay_factor);
    }
    choice.has_room = time_until_send == duration{} && !load.is_returning() && !load.is_at_capacity(now) &&
                      estimated_load < capacity.limit * this->load_limit(request.priority, capacity.speed);
    return choice;
}

void upstream_picker::on_arrival(const placement_request& request)
{
    //! NOTE The planner does not know the regions that a route allows.
    const bool has_region_limit = request.allowed_regions != nullptr && !request.allowed_regions->empty();
    if (!this->object_demands.is_enabled() || !request.has_affinity || has_region_limit) {
        return;
    }
    const object_key key{request.service, request.object};
    this->object_demands.record(key, this->times_of(request).warm(), this->objects.find(key) != nullptr);
}

const upstream_id* upstream_picker::planned_upstream(time_point now, const fleet::upstream_roster& roster,
                                                     const placement_request& request)
{
    if (!request.has_affinity || this->objects.size() == 0) {
        return nullptr;
    }
    const auto* planned = this->objects.find({request.service, request.object});
    const bool is_usable = planned != nullptr && this->is_allowed(now, roster, request, *planned) &&
                           roster.find_usable(*planned)->entry.service == request.service;
    return is_usable ? planned : nullptr;
}

placement_choice upstream_picker::pick(time_point now, const fleet::upstream_roster& roster,
                                       const placement_request& request)
{
    search_state state;
    state.planned = this->planned_upstream(now, roster, request);
    if (state.planned != nullptr &&
        this->consider(now, roster, request, *state.planned, warmth::assumed, state)) {
        return state.best;
    }
    const auto& first = this->ranking.top_ranked(roster, this->plan, request.service, request.object);
    if (this->search(now, roster, request, first, 0, state) ||
        first.size() == roster.usable(request.service).size()) {
        return state.best;
    }
    const auto all = object_ranking::full_ranking(roster, this->plan, request.service, request.object);
    this->search(now, roster, request, all, first.size(), state);
    return state.best;
}

bool upstream_picker::consider(time_point now, const fleet::upstream_roster& roster,
                               const placement_request& request, const upstream_id& id, warmth belief,
                               search_state& state)
{
    auto& best = state.best;
    const auto choice = this->evaluate(now, roster, request, id, belief);
    const bool is_better = best.upstream.empty() || (choice.has_room && !best.has_room) ||
                           (choice.has_room == best.has_room && choice.cost < best.cost);
    if (is_better) {
        best = choice;
    }
    return ++state.evaluated >= this->configuration.upstreams_per_object && best.has_room;
}

bool upstream_picker::search(time_point now, const fleet::upstream_roster& roster,
                             const placement_request& request, const std::vector<upstream_id>& order,
                             std::size_t from, search_state& state)
{
    for (auto position = from; position < order.size(); ++position) {
        const auto& id = order[position];
        const bool is_planned = state.planned != nullptr && id == *state.planned;
        if (is_planned || !this->is_allowed(now, roster, request, id)) {
            continue;
        }
        //! NOTE What this instance sent to another upstream before the object was planned, or when the
        //! planned one had no room, is too little to keep the object warm there.
        const auto ranked_belief = position == 0 ? warmth::assumed : warmth::remembered;
        const auto belief = state.planned != nullptr ? warmth::denied : ranked_belief;
        if (this->consider(now, roster, request, id, belief, state)) {
            return true;
        }
    }
    return false;
}

void upstream_picker::on_sent(time_point now, const fleet::upstream_roster& roster,
                              const placement_request& request, const upstream_id& upstream)
{
    const auto found = this->loads.find(upstream);
    if (found == this->loads.end()) {
        return;
    }
    found->second.on_sent(now, this->lately_known_instances());
    if (request.cold_requests_per_second > 0 && roster.is_cold(now, upstream)) {
        this->cold_limiter.on_sent(now, upstream, request.cold_requests_per_second);
    }
}

void upstream_picker::on_finished(time_point now, const placement_request& request,
                                  const placement_choice& choice, upstream_attempt_result result,
                                  duration took)
{
    const auto found = this->loads.find(choice.upstream);
    if (found == this->loads.end()) {
        return;
    }
    auto& load = found->second;
    load.on_finished(now, result, took, choice.usual_latency);
    if (result != upstream_attempt_result::answered) {
        return;
    }
    load.record_object(request.object);
    //! NOTE A response that was expected to wait behind others, or that came from a slow upstream, is a poor
    //! measure of the work time.
    const bool has_waited = choice.expected_latency > choice.expected_work * 2;
    if (!has_waited && load.slowness(now) < 2) {
        this->times_of(request).observe(took, choice.is_warm);
    }
}

void upstream_picker::on_report(time_point now, const upstream_id& upstream, const load_report& report)
{
    const auto found = this->loads.find(upstream);
    if (found != this->loads.end()) {
        found->second.on_report(now, report);
    }
}

std::optional<capacity::capacity_estimate> upstream_picker::on_work(time_point now,
                                                                    const placement_request& request,
                                                                    const placement_choice& choice,
                                                                    duration took, const load_report& report)
{
    const auto found = this->loads.find(choice.upstream);
    if (!this->configuration.learns_capacity || found == this->loads.end()) {
        return std::nullopt;
    }
    auto& load = found->second;
    auto& model = load.learned_capacity(choice.slots);
    const auto during =
        capacity::load_during(report.running + report.waiting, choice.load_at_sending, choice.slots);
    const auto at_upstream = std::max(took - choice.distance, took / 4);
    auto& reference = this->references[{request.service, request.route}];
    const auto log_ratio = reference.observe(scaled(at_upstream, during.work_share()), choice.is_warm,
                                             model.expected_log_ratio(now, during.running));
    if (!log_ratio) {
        return std::nullopt;
    }
    //! NOTE A momentary slowdown of the upstream's machine, which the report shows, is over before a decision
    //! could follow it; such samples count less.
    const double weight = (choice.is_warm ? 1 : cold_sample_weight) / std::max(1.0, report.pace.value_or(1));
    model.observe(now, {*log_ratio, during.running, weight});
    return load.note_capacity_change(now) ? std::optional(model.estimate(now)) : std::nullopt;
}

std::vector<upstream_estimate> upstream_picker::learned_capacities(time_point now) const
{
    std::vector<upstream_estimate> known;
    for (const auto& [id, load] : this->loads) {
        if (const auto capacity = load.learned_estimate(now)) {
            known.push_back({id, *capacity});
        }
    }
    return known;
}

signal_effects upstream_picker::on_signals(time_point now, const upstream_id& upstream,
                                           const upstream_signals& signals)
{
    const auto found = this->loads.find(upstream);
    if (found == this->loads.end()) {
        return {};
    }
    auto& load = found->second;
    const auto weight = rendezvous_weight(hash_text(upstream.str()), this->self_hash);
    const double phase =
        static_cast<double>(weight) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    signal_effects effects;
    effects.has_pause_begun = signals.pause && load.on_pause(now, *signals.pause, phase);
    effects.has_limit_changed =
        load.on_stated_rate(now, signals.requests_per_second, this->lately_known_instances(), phase);
    return effects;
}

void upstream_picker::on_tick(time_point now, const fleet::upstream_roster& roster)
{
    if (now < this->next_cleanup_at) {
        return;
    }
    this->next_cleanup_at = now + cleanup_interval;
    this->cold_limiter.remove_expired(now);
    std::erase_if(this->loads, [&](const auto& item) {
        //! NOTE What an upstream asks for holds also when it is evacuated or its registration is missing for
        //! a time.
        const auto& load = item.second;
        const bool was_signalled_lately =
            load.signalled_at() != time_point{} && now - load.signalled_at() < signal_memory;
        const bool is_remembered = was_signalled_lately || load.time_until_send(now) > duration{};
        return load.own_in_flight() == 0 && !is_remembered && roster.find_usable(item.first) == nullptr;
    });
}
} // namespace buckthornhill::placement
