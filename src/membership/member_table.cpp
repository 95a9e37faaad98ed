#include "membership/member_table.h"

#include <algorithm>
#include <set>

namespace buckthornhill::membership {
namespace {
constexpr std::uint64_t change_priority_rounds = 4;

bool is_serving(member_state state)
{
    return state == member_state::live;
}

bool is_running(member_state state)
{
    return state == member_state::joining || state == member_state::live || state == member_state::leaving;
}

bool is_newer(const member_record& candidate, const member_record& known)
{
    if (candidate.description.incarnation != known.description.incarnation) {
        return candidate.description.incarnation > known.description.incarnation;
    }
    if (candidate.sequence != known.sequence) {
        return candidate.sequence > known.sequence;
    }
    return candidate.state > known.state;
}
} // namespace

member_table::member_table(member_description self, const membership_configuration& settings,
                           random_hook random_source)
    : own{std::move(self), member_state::joining, 0}
    , configuration(settings)
    , random(std::move(random_source))
{
}

void member_table::add_seeds(time_point now, const std::vector<member_description>& seeds)
{
    for (const auto& seed : seeds) {
        if (seed.id == this->own.description.id) {
            continue;
        }
        auto [position, is_new] = this->members.try_emplace(seed.id);
        if (is_new) {
            position->second = {{seed, member_state::seeded, 0}, now, this->round};
            continue;
        }
        //! NOTE A replaced instance may restart at another address before its first heartbeat.
        auto& known = position->second.record;
        if (known.state == member_state::seeded || known.state == member_state::gone) {
            known.description.peer_address = seed.peer_address;
            known.description.caller_address = seed.caller_address;
        }
    }
}

bool member_table::merge_record(time_point now, const member_record& record)
{
    if (record.description.id == this->own.description.id || record.state == member_state::seeded) {
        return false;
    }
    if (record.is_brief && !this->can_refresh(record)) {
        return false;
    }
    auto [position, is_new] = this->members.try_emplace(record.description.id);
    auto& known = position->second;
    if (!is_new && !is_newer(record, known.record)) {
        return false;
    }
    const auto old_state = is_new ? member_state::seeded : known.record.state;
    const bool is_other_incarnation = known.record.description.incarnation != record.description.incarnation;
    auto description = record.is_brief ? known.record.description : record.description;
    known.record = record;
    known.record.description = std::move(description);
    known.record.is_brief = false;
    known.last_heard_at = now;
    known.has_left = record.state == member_state::gone && !is_other_incarnation &&
                     (known.has_left || old_state == member_state::leaving);
    if (old_state == record.state && !is_other_incarnation) {
        return false;
    }
    known.changed_in_round = this->round;
    return is_serving(old_state) || is_serving(record.state);
}

bool member_table::can_refresh(const member_record& record) const
{
    const auto* known = this->find(record.description.id);
    //! NOTE The entry of a seed that is only an address has no region and no incarnation.
    return known != nullptr && !known->record.description.region.empty() &&
           known->record.description.incarnation == record.description.incarnation;
}

bool member_table::merge(time_point now, const gossip& records)
{
    bool has_changed = false;
    for (const auto& record : records) {
        has_changed |= this->merge_record(now, record);
    }
    if (has_changed) {
        ++this->view_epoch;
    }
    return has_changed;
}

bool member_table::is_domain_peer(const entry& member) const
{
    return member.record.description.domain == this->own.description.domain;
}

duration member_table::gone_timeout() const
{
    //! NOTE Records of most members arrive by gossip in rotation, which takes more rounds in a large system.
    //! The timeout therefore grows with the number of members.
    const auto rounds =
        this->members.size() / std::max<std::size_t>(1, this->configuration.max_gossip_records);
    return this->configuration.gone_timeout + this->configuration.heartbeat_interval * rounds;
}

bool member_table::on_tick(time_point now)
{
    bool has_changed = false;
    for (auto& [id, member] : this->members) {
        const auto state = member.record.state;
        const bool is_running_member = is_running(state);
        if (!is_running_member || now - member.last_heard_at <= this->gone_timeout()) {
            continue;
        }
        member.record.state = member_state::gone;
        member.changed_in_round = this->round;
        member.has_left = state == member_state::leaving;
        has_changed |= is_serving(state);
    }
    if (has_changed) {
        ++this->view_epoch;
    }
    return has_changed;
}

void member_table::restart_timeouts(time_point now)
{
    for (auto& [id, member] : this->members) {
        member.last_heard_at = now;
    }
}

bool member_table::has_recent_change(const entry& member) const
{
    return this->round <= member.changed_in_round + change_priority_rounds;
}

gossip member_table::next_gossip()
{
    ++this->round;
    ++this->own.sequence;
    gossip records{this->own};
    for (const auto& [id, member] : this->members) {
        const bool has_priority = this->has_recent_change(member) || this->is_domain_peer(member);
        const bool has_been_heard = member.record.state != member_state::seeded;
        if (has_been_heard && has_priority && records.size() < this->configuration.max_gossip_records) {
            records.push_back(member.record);
        }
    }
    this->append_rotation(records);
    return records;
}

gossip member_table::next_brief_gossip()
{
    auto records = this->next_gossip();
    const auto others = records.size() - 1;
    this->full_record_index = others == 0 ? 0 : this->full_record_index % others + 1;
    for (std::size_t i = 1; i < records.size(); ++i) {
        const auto& member = this->members.at(records[i].description.id);
        records[i].is_brief = i != this->full_record_index && !this->has_recent_change(member);
    }
    return records;
}

void member_table::append_rotation(gossip& records)
{
    std::set<instance_id> present;
    for (const auto& record : records) {
        present.insert(record.description.id);
    }
    auto position = this->members.upper_bound(this->rotation_position);
    for (std::size_t visited = 0; visited < this->members.size(); ++visited) {
        if (records.size() >= this->configuration.max_gossip_records) {
            break;
        }
        if (position == this->members.end()) {
            position = this->members.begin();
        }
        const auto& member = position->second;
        if (member.record.state != member_state::seeded && !present.contains(position->first)) {
            records.push_back(member.record);
        }
        this->rotation_position = position->first;
        ++position;
    }
}

void member_table::append_random(std::vector<instance_id>& from, std::size_t count,
                                 std::vector<instance_id>& to)
{
    const auto picked_count = std::min(count, from.size());
    for (std::size_t i = 0; i < picked_count; ++i) {
        std::swap(from[i], from[i + this->random() % (from.size() - i)]);
        to.push_back(from[i]);
    }
}

std::vector<instance_id> member_table::pick_targets()
{
    std::vector<instance_id> domain_peers;
    std::vector<instance_id> other_members;
    std::vector<instance_id> gone_members;
    for (const auto& [id, member] : this->members) {
        if (member.record.state == member_state::gone) {
            gone_members.push_back(id);
        } else if (this->is_domain_peer(member)) {
            domain_peers.push_back(id);
        } else {
            other_members.push_back(id);
        }
    }
    std::vector<instance_id> targets;
    this->append_random(domain_peers, this->configuration.domain_targets, targets);
    this->append_random(other_members, this->configuration.random_targets, targets);
    if (!gone_members.empty()) {
        //! NOTE One heartbeat per round to a gone member reestablishes contact after a network partition
        //! between regions ends.
        targets.push_back(gone_members[this->random() % gone_members.size()]);
    }
    return targets;
}

void member_table::set_state(member_state state)
{
    if (this->own.state == state) {
        return;
    }
    this->own.state = state;
    ++this->own.sequence;
    ++this->view_epoch;
}

const member_table::entry* member_table::find(const instance_id& id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

const member_table::entry* member_table::find_incarnation(incarnation_id incarnation) const
{
    for (const auto& [id, member] : this->members) {
        if (is_running(member.record.state) && member.record.description.incarnation == incarnation) {
            return &member;
        }
    }
    return nullptr;
}

std::vector<member_description> member_table::live_members() const
{
    std::vector<member_description> live;
    if (is_serving(this->own.state)) {
        live.push_back(this->own.description);
    }
    for (const auto& [id, member] : this->members) {
        if (is_serving(member.record.state)) {
            live.push_back(member.record.description);
        }
    }
    return live;
}
} // namespace buckthornhill::membership
