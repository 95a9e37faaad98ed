#include "quarantine/crash_register.h"

#include <algorithm>

namespace buckthornhill::quarantine {
crash_register::crash_register(const quarantine_configuration& settings)
    : configuration(settings)
{
}

void crash_register::make_room()
{
    if (this->suspects.size() < this->configuration.max_suspects) {
        return;
    }
    const auto oldest =
        std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto& a, const auto& b) {
            return a.second.last_seen < b.second.last_seen;
        });
    this->suspects.erase(oldest);
}

std::vector<crash_note> crash_register::on_crash(time_point now, const upstream_id& upstream,
                                                 const std::vector<fingerprint>& in_flight)
{
    std::vector<crash_note> notes;
    for (const auto request_fingerprint : in_flight) {
        const crash_note note{request_fingerprint, upstream, false};
        this->on_crash_note(now, note);
        notes.push_back(note);
    }
    return notes;
}

bool crash_register::on_crash_note(time_point now, const crash_note& note)
{
    if (note.is_cleared) {
        return this->on_completed(note.request_fingerprint);
    }
    if (!this->suspects.contains(note.request_fingerprint)) {
        this->make_room();
    }
    auto& record = this->suspects[note.request_fingerprint];
    record.last_seen = now;
    return record.crashed_upstreams.insert(note.upstream).second;
}

bool crash_register::on_completed(fingerprint request_fingerprint)
{
    //! NOTE A late completion at another upstream does not clear a quarantined request.
    if (this->state_of(request_fingerprint) != quarantine_state::suspected) {
        return false;
    }
    this->suspects.erase(request_fingerprint);
    return true;
}

quarantine_state crash_register::state_of(fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found == this->suspects.end()) {
        return quarantine_state::clear;
    }
    const bool is_confirmed =
        found->second.crashed_upstreams.size() >= this->configuration.crashes_to_quarantine;
    return is_confirmed ? quarantine_state::quarantined : quarantine_state::suspected;
}

bool crash_register::begin_trial(fingerprint request_fingerprint)
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found == this->suspects.end() || found->second.is_on_trial) {
        return false;
    }
    found->second.is_on_trial = true;
    return true;
}

void crash_register::end_trial(fingerprint request_fingerprint)
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found != this->suspects.end()) {
        found->second.is_on_trial = false;
    }
}

void crash_register::on_tick(time_point now)
{
    std::erase_if(this->suspects, [&](const auto& item) {
        return now - item.second.last_seen > this->configuration.suspect_lifetime;
    });
}

std::vector<crash_note> crash_register::notes() const
{
    std::vector<crash_note> notes;
    for (const auto& [request_fingerprint, record] : this->suspects) {
        for (const auto& upstream : record.crashed_upstreams) {
            notes.push_back({request_fingerprint, upstream, false});
        }
    }
    return notes;
}
} // namespace buckthornhill::quarantine
