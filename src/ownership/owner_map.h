#pragma once

#include <unordered_map>
#include <vector>

#include "membership/membership_types.h"
#include "ownership/ownership_types.h"

namespace buckthornhill::ownership {
//! Assigns an owner to each upstream by rendezvous hashing over the live members of the nearest tier.
//! Two instances with different views may both own an upstream, so no invariant may depend on a single owner.
class owner_map
{
public:
    void rebuild(const std::vector<membership::member_description>& members,
                 const std::vector<upstream_description>& upstreams);

    //! Empty if no member is live or the upstream is unknown.
    const instance_id& owner_of(const upstream_id& upstream) const;
    std::vector<upstream_id> owned_by(const instance_id& member) const;

private:
    std::unordered_map<upstream_id, instance_id> owners;
};

//! The member that owns `upstream`: one in its failure domain if there is any, else in its region, else any
//! member.
instance_id choose_owner(const upstream_description& upstream,
                         const std::vector<membership::member_description>& members);
} // namespace buckthornhill::ownership
