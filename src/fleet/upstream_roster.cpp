#include "fleet/upstream_roster.h"

#include <algorithm>
#include <utility>

namespace buckthornhill::fleet {
namespace {
//! Departed runs are remembered so that outdated updates cannot make them usable again; the limit is far
//! above the departures of a day.
constexpr std::size_t max_departed_runs = 4096;
//! Age of a confirmation at the end of the time in which an entry may have lapsed. Covers the interval at
//! which relays confirm the list to their followers.
constexpr std::chrono::milliseconds max_confirmation_age{900};
//! Before that end, for a call to the store.
constexpr std::chrono::milliseconds check_lead{200};
} // namespace

void upstream_roster::replace_all(time_point now, const std::vector<upstream_entry>& entries,
                                  std::optional<time_point> lapse_deadline)
{
    std::set<upstream_id> present;
    for (const auto& entry : entries) {
        present.insert(entry.id);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, upstream] : this->upstreams) {
        if (!present.contains(id) && !upstream.lapse_deadline) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        this->drop_entry(now, id, lapse_deadline);
    }
    for (const auto& entry : entries) {
        this->apply_entry(now, entry);
    }
    this->rebuild_usable();
}

void upstream_roster::upsert(time_point now, const upstream_entry& entry)
{
    const auto previous_service = this->usable_service(entry.id);
    this->apply_entry(now, entry);
    this->update_usable(entry.id, previous_service);
}

service_id upstream_roster::usable_service(const upstream_id& id) const
{
    const auto* known = this->find_usable(id);
    return known == nullptr ? service_id{} : known->entry.service;
}

void upstream_roster::update_usable(const upstream_id& id, const service_id& previous_service)
{
    const auto current_service = this->usable_service(id);
    if (previous_service == current_service) {
        return;
    }
    if (!previous_service.empty()) {
        auto& ids = this->usable_by_service[previous_service];
        ids.erase(std::ranges::lower_bound(ids, id));
        if (ids.empty()) {
            this->usable_by_service.erase(previous_service);
        }
    }
    if (!current_service.empty()) {
        auto& ids = this->usable_by_service[current_service];
        ids.insert(std::ranges::lower_bound(ids, id), id);
    }
    ++this->view_epoch;
}

void upstream_roster::apply_entry(time_point now, const upstream_entry& entry)
{
    auto& known = this->upstreams[entry.id];
    const bool is_other_run = known.entry.id.empty() || known.entry.started_at_ms != entry.started_at_ms;
    if (is_other_run) {
        known = known_upstream{};
    }
    if (known.entry.address != entry.address) {
        known.is_misdirected = false;
    }
    known.entry = entry;
    known.lapse_deadline.reset();
    if (entry.cold_left.count() > 0) {
        known.cold_until = std::max(known.cold_until, now + entry.cold_left);
    }
    if (entry.is_leaving) {
        this->remember_departed(entry);
    }
}

void upstream_roster::remember_departed(const upstream_entry& entry)
{
    if (this->departed_runs.size() >= max_departed_runs) {
        this->departed_runs.erase(this->departed_runs.begin());
    }
    this->departed_runs.emplace(entry.id, entry.started_at_ms);
}

bool upstream_roster::on_leaving(const upstream_id& id)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return false;
    }
    const auto& entry = found->second.entry;
    if (this->departed_runs.contains({entry.id, entry.started_at_ms})) {
        return false;
    }
    const auto previous_service = this->usable_service(id);
    this->remember_departed(entry);
    this->update_usable(id, previous_service);
    return true;
}

void upstream_roster::drop_entry(time_point now, const upstream_id& id,
                                 std::optional<time_point> lapse_deadline)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    auto& upstream = found->second;
    if (lapse_deadline && now < *lapse_deadline && this->is_usable(upstream)) {
        const auto deadline = std::min(upstream.lapse_deadline.value_or(*lapse_deadline), *lapse_deadline);
        upstream.lapse_deadline = deadline;
        this->next_lapse_deadline = std::min(this->next_lapse_deadline, deadline);
        return;
    }
    this->upstreams.erase(found);
}

void upstream_roster::remove(time_point now, const upstream_id& id, std::optional<time_point> lapse_deadline)
{
    const auto previous_service = this->usable_service(id);
    this->drop_entry(now, id, lapse_deadline);
    this->update_usable(id, previous_service);
}

void upstream_roster::on_store_contact(std::optional<time_point> lapse_deadline)
{
    this->is_store_lost = false;
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.lapse_deadline && lapse_deadline) {
            upstream.lapse_deadline = std::max(*upstream.lapse_deadline, *lapse_deadline);
        }
    }
    this->update_next_lapse_deadline();
}

void upstream_roster::update_next_lapse_deadline()
{
    this->next_lapse_deadline = time_point::max();
    for (const auto& [id, upstream] : this->upstreams) {
        this->next_lapse_deadline =
            std::min(this->next_lapse_deadline, upstream.lapse_deadline.value_or(time_point::max()));
    }
}

void upstream_roster::set_evacuated(const std::set<domain_id>& domains)
{
    if (this->evacuated_domains != domains) {
        this->evacuated_domains = domains;
        this->rebuild_usable();
    }
}

void upstream_roster::on_misdirected(const upstream_id& id)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end() && !found->second.is_misdirected) {
        const auto previous_service = this->usable_service(id);
        found->second.is_misdirected = true;
        this->update_usable(id, previous_service);
    }
}

bool upstream_roster::is_confirmed_for(time_point deadline) const
{
    return !this->is_store_lost && this->confirmed_at + max_confirmation_age >= deadline;
}

bool upstream_roster::takes_check(time_point now)
{
    const auto deadline = this->next_lapse_deadline;
    const bool is_due = deadline != time_point::max() && now + check_lead >= deadline;
    return is_due && !this->is_confirmed_for(deadline) &&
           std::exchange(this->checked_for, deadline) != deadline;
}

void upstream_roster::on_tick(time_point now)
{
    if (now < this->next_lapse_deadline || !this->is_confirmed_for(this->next_lapse_deadline)) {
        return;
    }
    const auto dropped = std::erase_if(this->upstreams, [this, now](const auto& item) {
        const auto& deadline = item.second.lapse_deadline;
        return deadline && now >= *deadline && this->is_confirmed_for(*deadline);
    });
    this->update_next_lapse_deadline();
    if (dropped > 0) {
        this->rebuild_usable();
    }
}

bool upstream_roster::is_usable(const known_upstream& upstream) const
{
    const auto& entry = upstream.entry;
    return !entry.is_leaving && !upstream.is_misdirected &&
           !this->evacuated_domains.contains(entry.where.domain) &&
           !this->departed_runs.contains({entry.id, entry.started_at_ms});
}

const std::vector<upstream_id>& upstream_roster::usable(const service_id& service) const
{
    static const std::vector<upstream_id> none;
    const auto found = this->usable_by_service.find(service);
    return found == this->usable_by_service.end() ? none : found->second;
}

const upstream_roster::known_upstream* upstream_roster::find_usable(const upstream_id& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() || !this->is_usable(found->second) ? nullptr : &found->second;
}

bool upstream_roster::is_cold(time_point now, const upstream_id& id) const
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && now < found->second.cold_until;
}

bool upstream_roster::has_other_run_at(const std::string& address, const upstream_run& run) const
{
    const auto is_at_address = [&](const auto& item) { return item.second.entry.address == address; };
    const auto is_run = [&](const auto& item) { return item.second.entry.run() == run; };
    const auto other = std::ranges::find_if(
        this->upstreams, [&](const auto& item) { return is_at_address(item) && !is_run(item); });
    if (other == this->upstreams.end()) {
        return false;
    }
    //! NOTE The entry of an earlier run may still be listed beside that of `run`.
    const auto known = std::ranges::find_if(this->upstreams, is_run);
    return known == this->upstreams.end() ||
           other->second.entry.started_at_ms > known->second.entry.started_at_ms;
}

void upstream_roster::rebuild_usable()
{
    std::map<service_id, std::vector<upstream_id>> rebuilt;
    for (const auto& [id, upstream] : this->upstreams) {
        if (this->is_usable(upstream)) {
            rebuilt[upstream.entry.service].push_back(id);
        }
    }
    if (rebuilt != this->usable_by_service) {
        this->usable_by_service = std::move(rebuilt);
        ++this->view_epoch;
    }
}
} // namespace buckthornhill::fleet
