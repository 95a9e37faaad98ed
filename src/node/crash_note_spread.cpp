#include "node/crash_note_spread.h"

#include <algorithm>

namespace buckthornhill::node {
namespace {
constexpr std::size_t max_notes_in_heartbeat = 64;
}

std::vector<quarantine::crash_note> crash_note_spread::next_notes()
{
    auto notes = this->crashes.notes();
    if (notes.size() > max_notes_in_heartbeat) {
        this->position = (this->position + max_notes_in_heartbeat) % notes.size();
        std::rotate(notes.begin(), notes.begin() + static_cast<std::ptrdiff_t>(this->position), notes.end());
        notes.resize(max_notes_in_heartbeat);
    }
    return notes;
}

std::vector<quarantine::crash_note>
crash_note_spread::urgent_notes(const std::vector<quarantine::crash_note>& fresh) const
{
    auto notes = this->crashes.notes();
    notes.insert(notes.end(), fresh.begin(), fresh.end());
    return notes;
}

void crash_note_spread::await(std::uint64_t round, const std::vector<instance_id>& peers)
{
    this->awaited_round = round;
    this->awaited = {peers.begin(), peers.end()};
}

bool crash_note_spread::on_answer(const instance_id& peer, std::uint64_t round)
{
    return round >= this->awaited_round && this->on_unreachable(peer);
}

bool crash_note_spread::on_unreachable(const instance_id& peer)
{
    return this->awaited.erase(peer) > 0 && this->awaited.empty();
}
} // namespace buckthornhill::node
