#pragma once

#include <set>
#include <vector>

#include "quarantine/crash_register.h"

namespace buckthornhill::node {
//! Which crash notes go into heartbeats, and which peers have not confirmed the newest yet.
class crash_note_broadcast
{
public:
    explicit crash_note_broadcast(const quarantine::crash_register& crashes)
        : crashes(crashes)
    {
    }

    //! Notes for one heartbeat; when there are more than fit, successive heartbeats rotate through them.
    std::vector<quarantine::crash_note> next_notes();
    //! All notes and `fresh` ones, for a heartbeat that goes out at once.
    std::vector<quarantine::crash_note>
    urgent_notes(const std::vector<quarantine::crash_note>& new_notes) const;

    //! `peers` got the urgent notes in heartbeat `round`.
    void expect_confirmations(std::uint64_t round, const std::vector<instance_id>& peers);
    //! A peer responded to heartbeat `round`; returns whether it was the last unconfirmed one.
    bool on_heartbeat_response(const instance_id& peer, std::uint64_t round);
    //! An unreachable peer no longer has to confirm; returns whether it was the last unconfirmed one.
    bool on_unreachable(const instance_id& peer);

private:
    const quarantine::crash_register& crashes;
    std::set<instance_id> unconfirmed_peers;
    std::uint64_t broadcast_round = 0;
    std::size_t rotation_offset = 0;
};
} // namespace buckthornhill::node
