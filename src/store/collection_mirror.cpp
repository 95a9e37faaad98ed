#include "store/collection_mirror.h"

#include <algorithm>
#include <utility>

namespace buckthornhill::store {
namespace {
//! Covers the removals of several minutes; a peer that is further behind gets the whole collection.
constexpr std::size_t max_remembered_removals = 1024;
} // namespace

bool collection_mirror::apply(time_point now, const collection_update& update)
{
    if (!this->is_applicable(update)) {
        return false;
    }
    if (this->known && update.era != this->known_era) {
        this->begin_era(now, update);
    } else if (update.is_snapshot) {
        this->replace(update);
    } else {
        for (const auto& change : update.changes) {
            this->apply_change(change);
        }
    }
    this->forget_oldest_removals();
    this->known_era = update.era;
    this->known_version = update.version;
    this->known = true;
    return true;
}

bool collection_mirror::is_applicable(const collection_update& update) const
{
    if (!this->known) {
        return true;
    }
    return update.full_version() >= this->version() && (update.era == this->known_era || update.is_snapshot);
}

void collection_mirror::apply_change(const object_change& change)
{
    const auto& name = change.object.name;
    if (!change.is_removed && this->is_still_held(change.object)) {
        return;
    }
    this->reconciliation.on_written(name);
    this->held_objects.erase(name);
    if (change.is_removed) {
        this->contents.erase(name);
        this->removals[name] = {change.object.version, change.lapse_deadline};
    } else {
        this->contents[name] = change.object;
        this->removals.erase(name);
    }
    this->last_change = std::max(this->last_change, change.object.version);
}

void collection_mirror::begin_era(time_point now, const collection_update& update)
{
    std::map<std::string, stored_object> listed;
    std::map<std::string, stored_object> held;
    std::set<std::string> missing;
    std::set<std::string> reappeared;
    this->last_change = {};
    for (const auto& change : update.changes) {
        const auto& name = change.object.name;
        if (this->was_seen_leaving(now, name) || this->held_objects.contains(name)) {
            reappeared.insert(name);
            held.emplace(name, change.object);
        } else {
            listed.emplace(name, change.object);
        }
        this->last_change = std::max(this->last_change, change.object.version);
    }
    for (const auto& [name, object] : this->contents) {
        if (!held.contains(name) && listed.emplace(name, object).second) {
            missing.insert(name);
        }
    }
    this->contents = std::move(listed);
    this->held_objects = std::move(held);
    this->removals.clear();
    this->removals_known_after = update.version;
    this->reconciliation.begin(now, std::move(missing), std::move(reappeared));
}

bool collection_mirror::is_still_held(const stored_object& object) const
{
    const auto held = this->held_objects.find(object.name);
    return held != this->held_objects.end() && held->second.version == object.version;
}

bool collection_mirror::reconcile(std::map<std::string, stored_object>& listed,
                                  const collection_update& update)
{
    bool has_removals = false;
    for (const auto& name : std::set(this->reconciliation.kept())) {
        if (listed.contains(name)) {
            this->reconciliation.on_written(name);
        } else {
            listed.emplace(name, this->contents.at(name));
        }
    }
    std::erase_if(this->held_objects, [&](const auto& item) {
        const auto found = listed.find(item.first);
        if (found != listed.end() && this->is_still_held(found->second)) {
            listed.erase(found);
            return false;
        }
        if (found == listed.end()) {
            this->removals[item.first] = {update.version, update.lapse_deadline};
            has_removals = true;
        }
        this->reconciliation.on_written(item.first);
        return true;
    });
    return has_removals;
}

restore_reconciliation::decision collection_mirror::on_confirmed(time_point now)
{
    auto decision = this->reconciliation.on_confirmed(now);
    for (const auto& name : decision.removed) {
        this->contents.erase(name);
    }
    for (const auto& name : decision.accepted) {
        this->contents[name] = this->held_objects.at(name);
        this->held_objects.erase(name);
    }
    return decision;
}

void collection_mirror::replace(const collection_update& update)
{
    std::map<std::string, stored_object> replacement;
    for (const auto& change : update.changes) {
        replacement.emplace(change.object.name, change.object);
    }
    const bool has_held_removals = this->reconcile(replacement, update);
    const bool is_unchanged = !has_held_removals && replacement.size() == this->contents.size() &&
                              std::equal(replacement.begin(), replacement.end(), this->contents.begin(),
                                         [](const auto& a, const auto& b) {
                                             return a.first == b.first && a.second.text == b.second.text;
                                         });
    if (!this->known) {
        this->removals_known_after = update.version;
    }
    const auto previous = std::exchange(this->contents, std::move(replacement));
    for (const auto& [name, object] : previous) {
        if (!this->contents.contains(name)) {
            this->removals[name] = {update.version, update.lapse_deadline};
        }
    }
    std::erase_if(this->removals, [this](const auto& item) { return this->contents.contains(item.first); });
    if (is_unchanged) {
        return;
    }
    //! NOTE A full list does not tell when a missing object was removed, only that it was removed at or
    //! before the version of the list.
    const bool has_removals = has_held_removals || std::ranges::any_of(previous, [this](const auto& item) {
                                  return !this->contents.contains(item.first);
                              });
    this->last_change = has_removals ? update.version : this->last_change;
    for (const auto& change : update.changes) {
        this->last_change = std::max(this->last_change, change.object.version);
    }
}

bool collection_mirror::was_seen_leaving(time_point now, const std::string& name) const
{
    //! NOTE What disappeared in an outage may merely have lapsed, until its owner would have renewed it.
    const auto removed = this->removals.find(name);
    return removed != this->removals.end() && removed->second.lapse_deadline.value_or(now) <= now;
}

std::optional<time_point> collection_mirror::latest_lapse_deadline() const
{
    std::optional<time_point> latest;
    for (const auto& [name, removal] : this->removals) {
        latest = std::max(latest, removal.lapse_deadline);
    }
    return latest;
}

void collection_mirror::forget_oldest_removals()
{
    while (this->removals.size() > max_remembered_removals) {
        const auto oldest =
            std::min_element(this->removals.begin(), this->removals.end(), [](const auto& a, const auto& b) {
                return a.second.version < b.second.version;
            });
        this->removals_known_after = oldest->second.version;
        this->removals.erase(oldest);
    }
}

collection_update collection_mirror::snapshot(collection which) const
{
    collection_update update;
    update.which = which;
    update.is_snapshot = true;
    update.lapse_deadline = this->latest_lapse_deadline();
    update.version = this->known_version;
    update.era = this->known_era;
    for (const auto& [name, object] : this->contents) {
        if (!this->reconciliation.kept().contains(name)) {
            update.changes.push_back({object, false});
        }
    }
    for (const auto& [name, object] : this->held_objects) {
        update.changes.push_back({object, false});
    }
    return update;
}

collection_update collection_mirror::changes_since(collection which, const collection_version& since) const
{
    if (since.era != this->known_era || since.revision < this->removals_known_after) {
        return this->snapshot(which);
    }
    collection_update update;
    update.which = which;
    update.version = this->known_version;
    update.era = this->known_era;
    for (const auto& [name, removal] : this->removals) {
        if (removal.version > since.revision) {
            update.changes.push_back({{name, {}, removal.version}, true, removal.lapse_deadline});
        }
    }
    for (const auto* objects : {&this->contents, &this->held_objects}) {
        for (const auto& [name, object] : *objects) {
            if (object.version > since.revision && !this->reconciliation.kept().contains(name)) {
                update.changes.push_back({object, false});
            }
        }
    }
    return update;
}
} // namespace buckthornhill::store
