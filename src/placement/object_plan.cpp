#include "placement/object_plan.h"

namespace buckthornhill::placement {
const upstream_id* object_plan::find(const object_key& key) const
{
    const auto found = this->placed.find(key);
    return found == this->placed.end() ? nullptr : &found->second;
}

bool object_plan::apply(const plan_update& update)
{
    const bool is_same_plan =
        update.stamp.epoch == this->current.epoch && update.stamp.planner == this->current.planner;
    const bool is_older = update.stamp.epoch < this->current.epoch ||
                          (is_same_plan && update.stamp.version < this->current.version);
    if (is_older || (!update.is_whole && !is_same_plan)) {
        return false;
    }
    if (update.is_whole) {
        this->placed.clear();
    }
    for (const auto& change : update.changes) {
        if (change.upstream.empty()) {
            this->placed.erase(change.key);
        } else {
            this->placed[change.key] = change.upstream;
        }
    }
    this->current = update.stamp;
    return true;
}

plan_update object_plan::whole() const
{
    plan_update update{this->current, true, {}};
    update.changes.reserve(this->placed.size());
    for (const auto& [key, upstream] : this->placed) {
        update.changes.push_back({key, upstream});
    }
    return update;
}
} // namespace buckthornhill::placement
