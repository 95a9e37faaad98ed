#include "quarantine/crash_register.h"

#include <algorithm>

namespace buckthornhill::quarantine {
namespace {
//! More are not needed to tell a suspect's crashes apart.
constexpr std::size_t max_runs_of_suspect = 16;
} // namespace

crash_register::crash_register(const quarantine_configuration& settings)
    : configuration(settings)
{
}

void crash_register::make_room()
{
    if (this->suspects.size() < this->configuration.max_suspects) {
        return;
    }
    const auto removed = std::ranges::min_element(this->suspects, [](const auto& a, const auto& b) {
        return std::pair(a.second.runs.size(), a.second.last_seen) <
               std::pair(b.second.runs.size(), b.second.last_seen);
    });
    this->suspects.erase(removed);
}

crash_register::suspect& crash_register::entry_of(time_point now, fingerprint request_fingerprint)
{
    if (!this->suspects.contains(request_fingerprint)) {
        this->make_room();
    }
    auto& known = this->suspects[request_fingerprint];
    known.last_seen = now;
    return known;
}

bool crash_register::add_run(time_point now, time_point crashed_at, fingerprint request_fingerprint,
                             const upstream_run& run)
{
    auto& known = this->entry_of(now, request_fingerprint);
    if (known.runs.contains(run)) {
        return false;
    }
    if (known.runs.size() >= max_runs_of_suspect) {
        known.runs.erase(known.runs.begin());
    }
    known.runs.insert(run);
    known.first_crash_at = known.runs.size() == 1 ? crashed_at : std::min(known.first_crash_at, crashed_at);
    known.last_crash_at = std::max(known.last_crash_at, crashed_at);
    return true;
}

duration crash_register::quarantine_duration(int previous) const
{
    duration length = this->configuration.first_quarantine;
    for (int i = 0; i < previous && length < this->configuration.max_quarantine; ++i) {
        length *= this->configuration.quarantine_growth;
    }
    return std::min<duration>(length, this->configuration.max_quarantine);
}

void crash_register::update_quarantine(time_point now, suspect& known)
{
    const bool is_spread =
        known.last_crash_at - known.first_crash_at >= this->configuration.simultaneous_span ||
        known.runs.size() >= this->configuration.crashes_to_quarantine_at_once;
    if (known.runs.size() < this->configuration.crashes_to_quarantine || !is_spread ||
        now < known.quarantined_until) {
        return;
    }
    known.quarantined_until = now + this->quarantine_duration(known.quarantines);
    ++known.quarantines;
    known.trial_until = {};
}

std::vector<crash_note> crash_register::on_crash(time_point now, const upstream_run& run,
                                                 const std::vector<fingerprint>& in_flight)
{
    std::vector<crash_note> notes;
    for (const auto request_fingerprint : in_flight) {
        const crash_note note{request_fingerprint, run, {}, false};
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
    if (!this->add_run(now, now - note.age, note.request_fingerprint, note.run)) {
        return false;
    }
    auto& known = this->suspects.at(note.request_fingerprint);
    known.trial_until = {};
    this->update_quarantine(now, known);
    return true;
}

bool crash_register::merge(time_point now, const suspect_report& report)
{
    bool has_changed = false;
    for (const auto& run : report.runs) {
        has_changed |= this->add_run(now, now - report.last_crash_age, report.request_fingerprint, run);
    }
    const auto found = this->suspects.find(report.request_fingerprint);
    if (found == this->suspects.end()) {
        return false;
    }
    auto& known = found->second;
    known.first_crash_at = std::min(known.first_crash_at, now - report.first_crash_age);
    const auto until = now + std::min<duration>(report.quarantine_left, this->configuration.max_quarantine);
    if (report.quarantine_left > duration{} && until > known.quarantined_until) {
        has_changed |= this->state_of(now, report.request_fingerprint) != quarantine_state::quarantined;
        known.quarantined_until = until;
    }
    known.quarantines = std::max(known.quarantines, report.quarantines);
    if (known.quarantines == 0) {
        this->update_quarantine(now, known);
    }
    return has_changed;
}

bool crash_register::on_completed(fingerprint request_fingerprint)
{
    return this->suspects.erase(request_fingerprint) > 0;
}

void crash_register::on_seen(time_point now, fingerprint request_fingerprint)
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found != this->suspects.end()) {
        found->second.last_seen = now;
    }
}

quarantine_state crash_register::state_of(time_point now, fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found == this->suspects.end()) {
        return quarantine_state::clear;
    }
    return now < found->second.quarantined_until ? quarantine_state::quarantined
                                                 : quarantine_state::suspected;
}

duration crash_register::quarantine_left(time_point now, fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    return found == this->suspects.end() ? duration{}
                                         : std::max(duration{}, found->second.quarantined_until - now);
}

std::size_t crash_register::crash_count(fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    return found == this->suspects.end() ? 0 : found->second.runs.size();
}

bool crash_register::was_quarantined(fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    return found != this->suspects.end() && found->second.quarantines > 0;
}

bool crash_register::runs_singly(fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    return found != this->suspects.end() &&
           (found->second.quarantines > 0 ||
            found->second.runs.size() >= this->configuration.crashes_to_run_singly);
}

bool crash_register::begin_trial(time_point now, fingerprint request_fingerprint)
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found == this->suspects.end() || now < found->second.trial_until) {
        return false;
    }
    const duration limit = found->second.quarantines > 0 ? std::max(this->configuration.trial_limit,
                                                                    this->configuration.first_quarantine)
                                                         : this->configuration.trial_limit;
    found->second.trial_until = now + limit;
    return true;
}

void crash_register::end_trial(fingerprint request_fingerprint)
{
    const auto found = this->suspects.find(request_fingerprint);
    if (found != this->suspects.end()) {
        found->second.trial_until = {};
    }
}

void crash_register::on_tick(time_point now)
{
    std::erase_if(this->suspects, [&](const auto& item) {
        const auto& known = item.second;
        //! NOTE After a quarantine a suspect stays for as long again, so that it is tried one at a time.
        const auto kept_until =
            std::max(known.last_seen + this->configuration.suspect_lifetime,
                     known.quarantined_until + this->quarantine_duration(known.quarantines));
        return now > (known.quarantines > 0 ? kept_until
                                            : known.last_crash_at + this->configuration.suspect_lifetime);
    });
}

std::vector<crash_note> crash_register::notes() const
{
    std::vector<crash_note> notes;
    for (const auto& [request_fingerprint, known] : this->suspects) {
        for (const auto& run : known.runs) {
            notes.push_back({request_fingerprint, run, {}, false});
        }
    }
    return notes;
}

suspect_report crash_register::make_report(time_point now, fingerprint request_fingerprint,
                                           const suspect& known) const
{
    return {request_fingerprint,
            {known.runs.begin(), known.runs.end()},
            now - known.first_crash_at,
            now - known.last_crash_at,
            std::max(duration{}, known.quarantined_until - now),
            known.quarantines};
}

std::optional<suspect_report> crash_register::report_of(time_point now, fingerprint request_fingerprint) const
{
    const auto found = this->suspects.find(request_fingerprint);
    return found == this->suspects.end()
               ? std::nullopt
               : std::optional(this->make_report(now, request_fingerprint, found->second));
}

std::vector<suspect_report> crash_register::quarantined(time_point now, std::size_t limit) const
{
    std::vector<std::pair<time_point, fingerprint>> latest;
    for (const auto& [request_fingerprint, known] : this->suspects) {
        if (now < known.quarantined_until) {
            latest.emplace_back(known.last_seen, request_fingerprint);
        }
    }
    std::ranges::sort(latest, std::greater<>{});
    std::vector<suspect_report> reports;
    for (std::size_t i = 0; i < std::min(limit, latest.size()); ++i) {
        const auto print = latest[i].second;
        reports.push_back(this->make_report(now, print, this->suspects.at(print)));
    }
    return reports;
}

std::vector<suspect_report> crash_register::with_crashes(time_point now, std::size_t crashes,
                                                         std::size_t limit) const
{
    std::vector<suspect_report> reports;
    for (const auto& [request_fingerprint, known] : this->suspects) {
        if (known.quarantines > 0 || known.runs.size() >= crashes) {
            reports.push_back(this->make_report(now, request_fingerprint, known));
        }
    }
    if (reports.size() > limit) {
        std::ranges::sort(reports, std::greater<>{}, [](const suspect_report& one) {
            return std::pair(one.quarantines, one.runs.size());
        });
        reports.resize(limit);
    }
    return reports;
}
} // namespace buckthornhill::quarantine
