#pragma once

#include <map>
#include <optional>

#include "membership/membership_types.h"

namespace buckthornhill::membership {
//! One instance's view of all members. Not thread-safe; time and randomness come from the caller.
class member_table
{
public:
    struct entry
    {
        member_record record;
        time_point last_heard_at; //!< when the sequence last increased
        std::uint64_t changed_in_round = 0;
        bool has_left = false; //!< it announced its end and is gone
    };

    member_table(member_description self, const membership_configuration& configuration, random_hook random);

    const member_record& self() const { return this->own; }
    //! Adds members of the platform's list that are not known yet, and updates the addresses of those that
    //! are only seeded or gone.
    void add_seeds(time_point now, const std::vector<member_description>& seeds);
    //! Adopts the records that are newer; returns whether the set of live members changed.
    bool merge(time_point now, const gossip& records);
    //! Marks members as gone that have been silent for too long; returns whether the set of live members
    //! changed.
    bool on_tick(time_point now);
    //! Restarts all timeouts: silence of the others during a freeze of this process does not mean that they
    //! failed.
    void restart_timeouts(time_point now);
    //! Records for the next heartbeat: this instance's own, those of members that changed recently or are in
    //! its domain, then others in rotation.
    gossip next_gossip();
    //! The same, but with brief records for members that others already know. The own record, those of recent
    //! changes and one more in rotation, for receivers that missed a change, are complete.
    gossip next_brief_gossip();
    //! Members that the next round of heartbeats is sent to.
    std::vector<instance_id> pick_targets();
    void set_state(member_state state);

    const entry* find(const instance_id& id) const;
    //! The running member with this incarnation, or null; this instance is not considered.
    const entry* find_incarnation(incarnation_id incarnation) const;
    //! Members that may be owners and may be named to callers, including this one while it is live.
    std::vector<member_description> live_members() const;
    std::size_t size() const { return this->members.size(); }
    const std::map<instance_id, entry>& all() const { return this->members; }
    //! Increases with each change of the set of live members and of the own state.
    std::uint64_t epoch() const { return this->view_epoch; }

private:
    bool merge_record(time_point now, const member_record& record);
    //! Whether the member of a brief record is known with its full description and under the same
    //! incarnation.
    bool can_refresh(const member_record& record) const;
    //! Whether a change of this member is still being spread, so that others may not know it yet.
    bool has_recent_change(const entry& member) const;
    void append_rotation(gossip& records);
    void append_random(std::vector<instance_id>& from, std::size_t count, std::vector<instance_id>& to);
    duration gone_timeout() const;
    bool is_domain_peer(const entry& member) const;

    member_record own;
    membership_configuration configuration;
    random_hook random;
    std::map<instance_id, entry> members;
    instance_id rotation_position;
    std::uint64_t view_epoch = 1;
    std::uint64_t round = 0;
    std::size_t full_record_index = 0; //!< index of the record that is sent complete in rotation
};
} // namespace buckthornhill::membership
