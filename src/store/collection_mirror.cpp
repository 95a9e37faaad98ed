#include "store/collection_mirror.h"

namespace buckthornhill::store {
bool collection_mirror::apply(const collection_update& update)
{
    if (this->known && update.at < this->version) {
        return false;
    }
    const bool is_first = !this->known;
    if (update.is_whole) {
        std::map<std::string, stored_object> fresh;
        for (const auto& change : update.changes) {
            fresh.emplace(change.object.name, change.object);
        }
        const bool is_same =
            fresh.size() == this->contents.size() &&
            std::equal(fresh.begin(), fresh.end(), this->contents.begin(), [](const auto& a, const auto& b) {
                return a.first == b.first && a.second.text == b.second.text;
            });
        this->contents = std::move(fresh);
        if (is_first || !is_same) {
            this->changed = update.at;
        }
    } else {
        for (const auto& change : update.changes) {
            if (change.is_removed) {
                this->contents.erase(change.object.name);
            } else {
                this->contents[change.object.name] = change.object;
            }
            this->changed = update.at;
        }
    }
    this->version = update.at;
    this->known = true;
    return true;
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
} // namespace buckthornhill::store
