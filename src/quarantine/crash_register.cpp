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
    for (const auto print : in_flight) {
        const crash_note note{print, upstream, false};
        this->on_note(now, note);
        notes.push_back(note);
    }
    return notes;
}

bool crash_register::on_note(time_point now, const crash_note& note)
{
    if (note.is_cleared) {
        return this->on_completed(note.print);
    }
    if (!this->suspects.contains(note.print)) {
        this->make_room();
    }
    auto& known = this->suspects[note.print];
    known.last_seen = now;
    return known.crashed.insert(note.upstream).second;
}

bool crash_register::on_completed(fingerprint print)
{
    //! NOTE A quarantined request is not cleared by a late completion elsewhere.
    if (this->judge(print) != verdict::suspected) {
        return false;
    }
    this->suspects.erase(print);
    return true;
}

verdict crash_register::judge(fingerprint print) const
{
    const auto found = this->suspects.find(print);
    if (found == this->suspects.end()) {
        return verdict::clear;
    }
    const bool is_proved = found->second.crashed.size() >= this->configuration.crashes_to_quarantine;
    return is_proved ? verdict::quarantined : verdict::suspected;
}

bool crash_register::begin_trial(fingerprint print)
{
    const auto found = this->suspects.find(print);
    if (found == this->suspects.end() || found->second.is_on_trial) {
        return false;
    }
    found->second.is_on_trial = true;
    return true;
}

void crash_register::end_trial(fingerprint print)
{
    const auto found = this->suspects.find(print);
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
    for (const auto& [print, known] : this->suspects) {
        for (const auto& upstream : known.crashed) {
            notes.push_back({print, upstream, false});
        }
    }
    return notes;
}
} // namespace buckthornhill::quarantine
