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
        time_point last_heard_at; //!< when the sequence last rose
        std::uint64_t changed_in_round = 0;
    };

    member_table(member_description self, const membership_configuration& configuration, random_hook random);

    const member_record& self() const { return this->own; }
    //! Adds members that the platform's list names and that are unknown here.
    void add_seeds(time_point now, const std::vector<member_description>& seeds);
    //! Takes newer records over; returns whether the view changed.
    bool merge(time_point now, const gossip& records);
    //! Ends members that have been silent for too long; returns whether the view changed.
    bool on_tick(time_point now);
    //! After a freeze of this process silence proves nothing: every timeout starts afresh.
    void restart_timeouts(time_point now);
    //! Records for the next heartbeat: the own one, recent changes, the own domain, then others in rotation.
    gossip next_gossip();
    //! The same with brief records for what others know by now: whole are the own record, those of recent
    //! changes, and one more in turn for who missed them.
    gossip next_brief_gossip();
    //! Members that the next round of heartbeats goes to.
    std::vector<instance_id> pick_targets();
    void set_state(member_state state);

    const entry* find(const instance_id& id) const;
    //! A member that may still be reached under this incarnation, itself excluded.
    const entry* find_incarnation(incarnation_id incarnation) const;
    //! Members that may own and be named to callers, this one included while it is live.
    std::vector<member_description> live_members() const;
    std::size_t size() const { return this->members.size(); }
    const std::map<instance_id, entry>& all() const { return this->members; }
    //! Rises with each change of the live set.
    std::uint64_t epoch() const { return this->view_epoch; }

private:
    bool merge_record(time_point now, const member_record& record);
    //! The member that a brief record is about is known under the same incarnation.
    bool can_refresh(const member_record& record) const;
    //! News of this member is still being spread: others may not know it yet.
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
    std::size_t full_record_index = 0; //!< place of the record that goes out whole in turn
};
} // namespace buckthornhill::membership
