#include "store/collection_mirror.h"

#include <algorithm>
#include <utility>

namespace buckthornhill::store {
namespace {
//! Enough for the removals of some minutes; a peer that is further behind gets the whole collection.
constexpr std::size_t max_remembered_removals = 1024;
} // namespace

bool collection_mirror::apply(const collection_update& update)
{
    if (this->known && update.at < this->version) {
        return false;
    }
    if (update.is_whole) {
        this->replace(update);
    } else {
        for (const auto& change : update.changes) {
            if (change.is_removed) {
                this->remove(change.object.name, change.object.version, update);
            } else {
                this->contents[change.object.name] = change.object;
                this->removals.erase(change.object.name);
            }
            this->changed = std::max(this->changed, change.object.version);
        }
    }
    this->forget_oldest_removals();
    this->version = update.at;
    this->known = true;
    return true;
}

void collection_mirror::replace(const collection_update& update)
{
    std::map<std::string, stored_object> fresh;
    for (const auto& change : update.changes) {
        fresh.emplace(change.object.name, change.object);
    }
    const bool is_same =
        fresh.size() == this->contents.size() &&
        std::equal(fresh.begin(), fresh.end(), this->contents.begin(), [](const auto& a, const auto& b) {
            return a.first == b.first && a.second.text == b.second.text;
        });
    if (!this->known) {
        this->forgotten = update.at;
    }
    const auto before = std::exchange(this->contents, std::move(fresh));
    for (const auto& [name, object] : before) {
        if (!this->contents.contains(name)) {
            this->removals[name] = {update.at, update.after_outage};
        }
    }
    std::erase_if(this->removals, [this](const auto& item) { return this->contents.contains(item.first); });
    if (is_same) {
        return;
    }
    //! NOTE A list does not say when an object that it lacks went, only that it is gone by now.
    const bool lacks_some = std::ranges::any_of(
        before, [this](const auto& item) { return !this->contents.contains(item.first); });
    this->changed = lacks_some ? update.at : this->changed;
    for (const auto& change : update.changes) {
        this->changed = std::max(this->changed, change.object.version);
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
            std::min_element(this->removals.begin(), this->removals.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
        this->forgotten = oldest->second.at;
        this->removals.erase(oldest);
    }
}

collection_update collection_mirror::snapshot(collection which) const
{
    collection_update update;
    update.which = which;
    update.is_whole = true;
    update.at = this->version;
    for (const auto& [name, object] : this->contents) {
        update.changes.push_back({object, false});
    }
    return update;
}

collection_update collection_mirror::changes_since(collection which, object_version since) const
{
    if (since < this->forgotten) {
        return this->snapshot(which);
    }
    collection_update update;
    update.which = which;
    update.at = this->version;
    for (const auto& [name, removal] : this->removals) {
        if (removal.at > since) {
            update.changes.push_back({{name, {}, removal.at}, true});
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
