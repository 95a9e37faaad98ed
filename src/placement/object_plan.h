#pragma once

#include <unordered_map>

#include "placement/object_plan_types.h"

namespace buckthornhill::placement {
//! An instance's copy of the plan of its region. It stays in use while the planner does not answer, since a
//! plan that all instances have in common is better than none.
class object_plan
{
public:
    //! Null when the object is not planned.
    const upstream_id* find(const object_key& key) const;
    const plan_stamp& stamp() const { return this->current; }
    std::size_t size() const { return this->placed.size(); }
    //! Returns whether the update was taken. A plan of a lower epoch is not, nor are changes of a plan that
    //! this copy does not have.
    bool apply(const plan_update& update);
    plan_update whole() const;

private:
    plan_stamp current;
    std::unordered_map<object_key, upstream_id, object_key_hash> placed;
};
} // namespace buckthornhill::placement
