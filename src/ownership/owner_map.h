#pragma once

#include <unordered_map>
#include <vector>

#include "membership/membership_types.h"
#include "ownership/ownership_types.h"

namespace buckthornhill::ownership {
//! Owner of each upstream by rendezvous hashing over the live members, nearest tier first.
//! Two instances with different views may both own an upstream; nothing that must always hold rests on this.
class owner_map
{
public:
    void rebuild(const std::vector<membership::member_description>& members,
                 const std::vector<upstream_description>& upstreams);

    //! Empty when no member is live.
    const instance_id& owner_of(const upstream_id& upstream) const;
    std::vector<upstream_id> owned_by(const instance_id& member) const;

private:
    std::unordered_map<upstream_id, instance_id> owners;
};

//! The member that owns `upstream`: those in its failure domain first, then its region, then any.
instance_id choose_owner(const upstream_description& upstream,
                         const std::vector<membership::member_description>& members);
} // namespace buckthornhill::ownership
