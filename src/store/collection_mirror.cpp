#include "store/collection_mirror.h"

#include <algorithm>
#include <utility>

namespace buckthornhill::store {
namespace {
//! Covers the removals of several minutes; a peer that is further behind gets the whole collection.
constexpr std::size_t max_remembered_removals = 1024;
} // namespace

bool collection_mirror::apply(const collection_update& update)
{
    if (this->known && update.version < this->known_version) {
        return false;
    }
    if (update.is_snapshot) {
        this->replace(update);
    } else {
        for (const auto& change : update.changes) {
            if (change.is_removed) {
                this->remove(change.object.name, change.object.version, update);
            } else {
                this->contents[change.object.name] = change.object;
                this->removals.erase(change.object.name);
            }
            this->last_change = std::max(this->last_change, change.object.version);
        }
    }
    this->forget_oldest_removals();
    this->known_version = update.version;
    this->known = true;
    return true;
}

void collection_mirror::replace(const collection_update& update)
{
    std::map<std::string, stored_object> replacement;
    for (const auto& change : update.changes) {
        replacement.emplace(change.object.name, change.object);
    }
    const bool is_unchanged = replacement.size() == this->contents.size() &&
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
            this->removals[name] = {update.version, update.after_outage};
        }
    }
    std::erase_if(this->removals, [this](const auto& item) { return this->contents.contains(item.first); });
    if (is_unchanged) {
        return;
    }
    //! NOTE A full list does not tell when a missing object was removed, only that it was removed at or
    //! before the version of the list.
    const bool has_removals = std::ranges::any_of(
        previous, [this](const auto& item) { return !this->contents.contains(item.first); });
    this->last_change = has_removals ? update.version : this->last_change;
    for (const auto& change : update.changes) {
        this->last_change = std::max(this->last_change, change.object.version);
    }
}

void collection_mirror::remove(const std::string& name, object_version version,
                               const collection_update& update)
{
    this->contents.erase(name);
    this->removals[name] = {version, update.after_outage};
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
    update.version = this->known_version;
    for (const auto& [name, object] : this->contents) {
        update.changes.push_back({object, false});
    }
    return update;
}

collection_update collection_mirror::changes_since(collection which, object_version since) const
{
    if (since < this->removals_known_after) {
        return this->snapshot(which);
    }
    collection_update update;
    update.which = which;
    update.version = this->known_version;
    for (const auto& [name, removal] : this->removals) {
        if (removal.version > since) {
            update.changes.push_back({{name, {}, removal.version}, true});
            update.after_outage = update.after_outage || removal.after_outage;
        }
    }
    for (const auto& [name, object] : this->contents) {
        if (object.version > since) {
            update.changes.push_back({object, false});
        }
    }
    return update;
}
} // namespace buckthornhill::store
