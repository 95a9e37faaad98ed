#include "fleet/upstream_roster.h"

#include <algorithm>

namespace buckthornhill::fleet {
namespace {
//! Runs that left are remembered so that late news cannot bring them back; far more than a day brings.
constexpr std::size_t max_remembered_departures = 4096;
} // namespace

void upstream_roster::replace_all(time_point now, const std::vector<upstream_entry>& entries,
                                  bool after_outage)
{
    std::set<upstream_id> present;
    for (const auto& entry : entries) {
        present.insert(entry.id);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, upstream] : this->upstreams) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        this->drop(now, id, after_outage);
    }
    for (const auto& entry : entries) {
        this->put(now, entry);
    }
    this->rebuild();
}

void upstream_roster::upsert(time_point now, const upstream_entry& entry)
{
    const auto before = this->service_in_use(entry.id);
    this->put(now, entry);
    this->refresh(entry.id, before);
}

service_id upstream_roster::service_in_use(const upstream_id& id) const
{
    const auto* known = this->find_usable(id);
    return known == nullptr ? service_id{} : known->entry.service;
}

void upstream_roster::refresh(const upstream_id& id, const service_id& before)
{
    const auto after = this->service_in_use(id);
    if (before == after) {
        return;
    }
    if (!before.empty()) {
        auto& ids = this->by_service[before];
        ids.erase(std::ranges::lower_bound(ids, id));
        if (ids.empty()) {
            this->by_service.erase(before);
        }
    }
    if (!after.empty()) {
        auto& ids = this->by_service[after];
        ids.insert(std::ranges::lower_bound(ids, id), id);
    }
    ++this->view_epoch;
}

void upstream_roster::put(time_point now, const upstream_entry& entry)
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
    known.may_only_have_lapsed = false;
    if (entry.cold_left.count() > 0) {
        known.cold_until = std::max(known.cold_until, now + entry.cold_left);
    }
    if (entry.is_leaving) {
        if (this->left.size() >= max_remembered_departures) {
            this->left.erase(this->left.begin());
        }
        this->left.emplace(entry.id, entry.started_at_ms);
    }
}

void upstream_roster::drop(time_point now, const upstream_id& id, bool after_outage)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    auto& upstream = found->second;
    if (after_outage && this->may_use(upstream)) {
        if (!upstream.may_only_have_lapsed) {
            upstream.may_only_have_lapsed = true;
            upstream.missing_until = now + this->configuration.lapse_grace;
            this->next_lapse = std::min(this->next_lapse, upstream.missing_until);
        }
        return;
    }
    this->upstreams.erase(found);
}

void upstream_roster::remove(time_point now, const upstream_id& id, bool after_outage)
{
    const auto before = this->service_in_use(id);
    this->drop(now, id, after_outage);
    this->refresh(id, before);
}

void upstream_roster::set_evacuated(const std::set<domain_id>& domains)
{
    if (this->evacuated != domains) {
        this->evacuated = domains;
        this->rebuild();
    }
}

void upstream_roster::on_misdirected(const upstream_id& id)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end() && !found->second.is_misdirected) {
        const auto before = this->service_in_use(id);
        found->second.is_misdirected = true;
        this->refresh(id, before);
    }
}

void upstream_roster::on_tick(time_point now)
{
    if (now < this->next_lapse) {
        return;
    }
    this->next_lapse = time_point::max();
    const auto dropped = std::erase_if(this->upstreams, [this, now](const auto& item) {
        if (!item.second.may_only_have_lapsed) {
            return false;
        }
        const bool is_gone = now >= item.second.missing_until;
        if (!is_gone) {
            this->next_lapse = std::min(this->next_lapse, item.second.missing_until);
        }
        return is_gone;
    });
    if (dropped > 0) {
        this->rebuild();
    }
}

bool upstream_roster::may_use(const known_upstream& upstream) const
{
    const auto& entry = upstream.entry;
    return !entry.is_leaving && !upstream.is_misdirected && !this->evacuated.contains(entry.where.domain) &&
           !this->left.contains({entry.id, entry.started_at_ms});
}

const std::vector<upstream_id>& upstream_roster::usable(const service_id& service) const
{
    static const std::vector<upstream_id> none;
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

const upstream_roster::known_upstream* upstream_roster::find_usable(const upstream_id& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() || !this->may_use(found->second) ? nullptr : &found->second;
}

bool upstream_roster::is_cold(time_point now, const upstream_id& id) const
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() && now < found->second.cold_until;
}

void upstream_roster::rebuild()
{
    std::map<service_id, std::vector<upstream_id>> fresh;
    for (const auto& [id, upstream] : this->upstreams) {
        if (this->may_use(upstream)) {
            fresh[upstream.entry.service].push_back(id);
        }
    }
    if (fresh != this->by_service) {
        this->by_service = std::move(fresh);
        ++this->view_epoch;
    }
}
} // namespace buckthornhill::fleet
