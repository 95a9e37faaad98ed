#include "upstream_fleet.h"

#include <algorithm>

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds drain_duration{3500};      //!< for which a leaving upstream continues to serve
constexpr milliseconds registration_expiry{1500}; //!< until the registration of an ended upstream is removed
//! The same for upstreams whose addresses are used again, so that both registrations are listed for a time.
constexpr milliseconds late_registration_expiry{4500};
constexpr milliseconds address_reuse_time{2000};
constexpr std::size_t share_of_many = 3; //!< one in so many is hit by a fault of many upstreams
constexpr unsigned spoiled_per_hundred = 10;
constexpr unsigned unanswered_per_hundred = 5;
constexpr int slowness_factor = 6;
constexpr unsigned late_unanswered_per_hundred = 20;

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

upstream_fleet::upstream_fleet(boost::asio::io_context& io, delayed_calls& later, const deployment& played,
                               platform_store& platform, run_record& run, hooks hooks_to_call)
    : context(io)
    , calls(later)
    , description(played)
    , store(platform)
    , record(run)
    , callbacks(std::move(hooks_to_call))
{
    for (std::size_t service = 0; service < played.services.size(); ++service) {
        const auto& counts = played.services[service].upstreams;
        for (std::size_t domain = 0; domain < counts.size(); ++domain) {
            this->places.insert(this->places.end(), counts[domain], place_description{service, domain, {}});
        }
    }
    for (std::size_t place = 0; place < this->places.size(); ++place) {
        this->start(place);
    }
}

void upstream_fleet::start(std::size_t place, std::shared_ptr<loopback_proxy> proxy)
{
    const auto& service = this->description.services[this->places[place].service];
    upstream_traits traits;
    traits.id = "u" + std::to_string(++this->last_upstream);
    traits.service = service.name;
    traits.domain = this->description.domains[this->places[place].domain].name;
    traits.slots = service.slots;
    traits.queue = service.queue;
    traits.processing_time_of = this->callbacks.work_of;
    traits.lost_per_hundred = 1;
    traits.is_crashed_by = this->callbacks.is_crashing;
    traits.on_crash = [this, id = traits.id](const http::http_request& request) {
        this->record.arrivals.on_crash(now(), request.target);
        if (auto* crashed = this->find(id)) {
            this->end(*crashed);
        }
    };
    if (this->is_steady) {
        traits.cold_time = service.cold_time;
        this->record.arrivals.on_cold(now(), now() + service.cold_time, traits.id,
                                      service.cold_requests_per_second);
    }
    placed_upstream added;
    added.place = place;
    added.upstream = std::make_unique<platform_upstream>(this->context, traits, this->all_runs);
    if (proxy != nullptr) {
        proxy->retarget(added.upstream->address());
        proxy->set_mode(proxy_mode::pass);
    } else {
        proxy = std::make_shared<loopback_proxy>(this->context, added.upstream->address());
    }
    added.proxy = std::move(proxy);
    put_upstream(this->store, *added.upstream, added.proxy->address(), false);
    if (this->is_steady) {
        this->calls.run_after(service.cold_time, [this, id = traits.id] {
            const auto* warm = this->find(id);
            if (warm != nullptr && !warm->is_leaving) {
                put_upstream(this->store, *warm->upstream, warm->proxy->address(), false);
            }
        });
    }
    this->places[place].current = traits.id;
    this->upstreams.push_back(std::move(added));
}

upstream_fleet::placed_upstream* upstream_fleet::find(const std::string& id)
{
    const auto found = std::ranges::find_if(
        this->upstreams, [&id](const auto& placed) { return placed.upstream->id() == id; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

std::vector<upstream_fleet::placed_upstream*> upstream_fleet::third_from(std::size_t place)
{
    std::vector<placed_upstream*> chosen;
    for (auto i = place % share_of_many; i < this->places.size(); i += share_of_many) {
        if (auto* placed = this->at(i)) {
            chosen.push_back(placed);
        }
    }
    return chosen;
}

void upstream_fleet::set_path(std::size_t place, proxy_mode mode, milliseconds time)
{
    auto* placed = this->at(place);
    if (placed == nullptr || placed->has_ended) {
        return;
    }
    const auto id = placed->upstream->id();
    const auto start = now();
    this->record.faults.on_path_fault(start, start + time, id);
    const bool is_cut =
        mode == proxy_mode::blackhole || mode == proxy_mode::block_responses || mode == proxy_mode::reset;
    if (is_cut) {
        this->record.faults.on_cut(start, start + time, id);
    }
    if (is_cut || mode == proxy_mode::lose_responses || mode == proxy_mode::cut_heads) {
        this->record.arrivals.on_responses_lost(start, start + time, id);
    }
    placed->proxy->set_mode(mode);
    this->calls.run_after(time, [this, id] {
        auto* same = this->find(id);
        if (same != nullptr && !same->has_ended) {
            same->proxy->set_mode(proxy_mode::pass);
        }
    });
}

void upstream_fleet::spoil_responses(std::size_t place, std::uint64_t seed, milliseconds time)
{
    for (auto* placed : this->third_from(place)) {
        const auto id = placed->upstream->id();
        placed->proxy->set_spoiling(spoiled_per_hundred, seed + placed->place);
        this->calls.run_after(time, [this, id] {
            if (auto* same = this->find(id)) {
                same->proxy->set_spoiling(0, 0);
            }
        });
    }
}

void upstream_fleet::lose_responses(std::size_t place, milliseconds time)
{
    const auto start = now();
    for (auto* placed : this->third_from(place)) {
        const auto id = placed->upstream->id();
        this->record.arrivals.on_responses_lost(start, start + time, id);
        placed->upstream->set_failure(request_failure::unanswered, unanswered_per_hundred);
        this->calls.run_after(time, [this, id] {
            if (auto* same = this->find(id)) {
                same->upstream->set_failure(request_failure::none, 0);
            }
        });
    }
}

void upstream_fleet::slow_down(std::size_t place, milliseconds time)
{
    const auto start = now();
    for (auto* placed : this->third_from(place)) {
        const auto id = placed->upstream->id();
        this->record.arrivals.on_responses_lost(start, start + time, id);
        placed->upstream->set_slowness(slowness_factor);
        placed->upstream->set_failure(request_failure::unanswered, late_unanswered_per_hundred);
        this->calls.run_after(time, [this, id] {
            if (auto* same = this->find(id)) {
                same->upstream->set_slowness(1);
                same->upstream->set_failure(request_failure::none, 0);
            }
        });
    }
}

//! Ends the process of an upstream, as its gateways see it: connections are reset and connects refused.
void upstream_fleet::end(placed_upstream& upstream)
{
    if (upstream.has_ended) {
        return;
    }
    const auto id = upstream.upstream->id();
    const bool has_replacement = std::exchange(upstream.is_leaving, true);
    upstream.has_ended = true;
    this->record.faults.on_cut(now(), time_point::max(), id);
    upstream.upstream->crash();
    upstream.proxy->close();
    this->calls.run_after(registration_expiry, [this, id, has_replacement, place = upstream.place] {
        this->remove(id);
        if (!has_replacement) {
            this->start(place);
        }
    });
}

void upstream_fleet::remove(const std::string& id)
{
    remove_upstream_entry(this->store, id);
    if (auto* removed = this->find(id)) {
        this->end_limit(*removed);
        //! NOTE A proxy whose address is in use again goes on counting for the next upstream.
        this->spoiled_by_removed += removed->proxy.use_count() == 1 ? removed->proxy->spoiled_responses() : 0;
        if (this->places[removed->place].current == id) {
            this->places[removed->place].current.clear();
        }
    }
    this->upstreams.remove_if([&id](const auto& placed) { return placed.upstream->id() == id; });
}

void upstream_fleet::crash(std::size_t place)
{
    auto* placed = this->at(place);
    if (placed != nullptr && !placed->is_leaving) {
        this->end(*placed);
    }
}

void upstream_fleet::crash_many(std::size_t service)
{
    std::vector<placed_upstream*> candidates;
    for (std::size_t place = 0; place < this->places.size(); ++place) {
        auto* placed = this->places[place].service == service ? this->at(place) : nullptr;
        if (placed != nullptr && !placed->is_leaving) {
            candidates.push_back(placed);
        }
    }
    const auto count = std::max<std::size_t>(1, candidates.size() / share_of_many);
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
        this->end(*candidates[i]);
    }
}

void upstream_fleet::turn_away(std::size_t place, milliseconds time)
{
    if (auto* placed = this->at(place)) {
        placed->upstream->turn_away(time);
    }
}

void upstream_fleet::name_limit(std::size_t place, double requests_per_second, milliseconds time)
{
    auto* placed = this->at(place);
    const bool is_service_limited =
        placed != nullptr && std::ranges::any_of(this->upstreams, [&](const placed_upstream& other) {
            return other.limited_since && other.upstream->service() == placed->upstream->service();
        });
    if (placed == nullptr || placed->is_leaving || is_service_limited) {
        return;
    }
    placed->limited_since = now();
    placed->limit = requests_per_second;
    placed->upstream->set_limit(requests_per_second);
    this->calls.run_after(time, [this, id = placed->upstream->id()] {
        if (auto* limited = this->find(id)) {
            this->end_limit(*limited);
        }
    });
}

void upstream_fleet::end_limit(placed_upstream& limited)
{
    if (!limited.limited_since) {
        return;
    }
    limited.upstream->set_limit(std::nullopt);
    this->record.arrivals.on_limit(*limited.limited_since, now(), limited.upstream->id(), limited.limit);
    limited.limited_since.reset();
}

bool upstream_fleet::can_spare(std::size_t service)
{
    return std::ranges::all_of(this->upstreams, [&](const placed_upstream& placed) {
        const bool is_cold = placed.upstream->cold_left().count() > 0;
        return this->places[placed.place].service != service || (!placed.is_leaving && !is_cold);
    });
}

void upstream_fleet::leave(std::size_t first_place, bool tells_store)
{
    auto place = first_place;
    for (std::size_t tries = 0; tries < this->places.size() && !this->can_spare(this->places[place].service);
         ++tries) {
        place = (place + 1) % this->places.size();
    }
    auto* placed = this->at(place);
    if (placed == nullptr || !this->can_spare(this->places[place].service)) {
        return;
    }
    placed->is_leaving = true;
    const auto id = placed->upstream->id();
    placed->upstream->announce_leaving();
    placed->has_told_store = tells_store;
    if (tells_store) {
        put_upstream(this->store, *placed->upstream, placed->proxy->address(), true);
        this->record.guarantees.on_leaving(now(), id);
    }
    this->start(place);
    this->calls.run_after(drain_duration, [this, id] { this->remove(id); });
}

void upstream_fleet::exchange_addresses(std::size_t first_place)
{
    auto* first = this->at(first_place);
    const auto other_place = std::ranges::find_if(this->places, [&](const place_description& place) {
        auto* candidate = this->find(place.current);
        return place.service != this->places[first_place].service && candidate != nullptr &&
               !candidate->is_leaving;
    });
    if (first == nullptr || first->is_leaving || other_place == this->places.end()) {
        return;
    }
    auto* second = this->find(other_place->current);
    const auto ended = now();
    for (auto* placed : {first, second}) {
        placed->is_leaving = true;
        placed->has_ended = true;
        this->record.faults.on_cut(ended, time_point::max(), placed->upstream->id());
        placed->upstream->crash();
        placed->proxy->set_mode(proxy_mode::reset);
        this->calls.run_after(late_registration_expiry,
                              [this, id = placed->upstream->id()] { this->remove(id); });
    }
    this->calls.run_after(address_reuse_time, [this, first_place, second_place = second->place,
                                               first_proxy = first->proxy, second_proxy = second->proxy] {
        this->start(first_place, second_proxy);
        this->start(second_place, first_proxy);
    });
}

void upstream_fleet::fail_service(std::size_t service, request_failure how, unsigned per_hundred,
                                  milliseconds time)
{
    const auto start = now();
    for (auto& placed : this->upstreams) {
        if (this->places[placed.place].service != service) {
            continue;
        }
        const auto id = placed.upstream->id();
        if (how == request_failure::unanswered) {
            this->record.arrivals.on_responses_lost(start, start + time, id);
        }
        placed.upstream->set_failure(how, per_hundred);
        this->calls.run_after(time, [this, id] {
            if (auto* same = this->find(id)) {
                same->upstream->set_failure(request_failure::none, 0);
            }
        });
    }
}

void upstream_fleet::register_again()
{
    for (const auto& placed : this->upstreams) {
        if (!placed.has_ended) {
            put_upstream(this->store, *placed.upstream, placed.proxy->address(), placed.has_told_store);
        }
    }
    this->calls.run_after(registration_expiry, [this] {
        for (const auto& id : registered_upstreams(this->store)) {
            if (this->find(id) == nullptr) {
                remove_upstream_entry(this->store, id);
            }
        }
    });
}

void upstream_fleet::end_faults()
{
    for (auto& placed : this->upstreams) {
        placed.upstream->set_failure(request_failure::none, 0);
        placed.upstream->set_slowness(1);
        placed.proxy->set_spoiling(0, 0);
        if (!placed.has_ended) {
            placed.proxy->set_mode(proxy_mode::pass);
        }
        this->end_limit(placed);
    }
}

std::uint64_t upstream_fleet::spoiled_responses() const
{
    auto count = this->spoiled_by_removed;
    for (const auto& placed : this->upstreams) {
        count += placed.proxy->spoiled_responses();
    }
    return count;
}
} // namespace buckthornhill::soak
