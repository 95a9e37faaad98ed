#include "node/crash_note_broadcast.h"

#include <algorithm>

namespace buckthornhill::node {
namespace {
constexpr std::size_t max_notes_in_heartbeat = 64;
}

std::vector<quarantine::crash_note> crash_note_broadcast::next_notes()
{
    auto notes = this->crashes.notes();
    if (notes.size() > max_notes_in_heartbeat) {
        this->rotation_offset = (this->rotation_offset + max_notes_in_heartbeat) % notes.size();
        std::rotate(notes.begin(), notes.begin() + static_cast<std::ptrdiff_t>(this->rotation_offset),
                    notes.end());
        notes.resize(max_notes_in_heartbeat);
    }
    return notes;
}

std::vector<quarantine::crash_note>
crash_note_broadcast::urgent_notes(const std::vector<quarantine::crash_note>& new_notes) const
{
    auto notes = this->crashes.notes();
    notes.insert(notes.end(), new_notes.begin(), new_notes.end());
    return notes;
}

void crash_note_broadcast::expect_confirmations(std::uint64_t round, const std::vector<instance_id>& peers)
{
    this->broadcast_round = round;
    this->unconfirmed_peers = {peers.begin(), peers.end()};
}

bool crash_note_broadcast::on_heartbeat_response(const instance_id& peer, std::uint64_t round)
{
    return round >= this->broadcast_round && this->on_unreachable(peer);
}

bool crash_note_broadcast::on_unreachable(const instance_id& peer)
{
    return this->unconfirmed_peers.erase(peer) > 0 && this->unconfirmed_peers.empty();
}
} // namespace buckthornhill::node
