#include "quarantine/crash_watch.h"

#include <algorithm>

namespace buckthornhill::quarantine {
namespace {
constexpr std::size_t max_remembered_completions = 8192;
//! For which lost requests are kept: an upstream that starts again at once is found to have ended only when
//! its new run registers.
constexpr std::chrono::seconds lost_request_lifetime{5};
constexpr std::size_t max_runs_with_lost_requests = 256;
constexpr std::size_t max_lost_requests_of_run = 256;
constexpr std::size_t max_reports_in_heartbeat = 32;
constexpr std::size_t max_lasting_suspects = 256;
constexpr std::chrono::seconds cleanup_interval{1};
} // namespace

crash_watch::crash_watch(const quarantine_configuration& settings)
    : configuration(settings)
    , suspects(settings)
    , completions(max_remembered_completions)
{
}

crash_watch::admission crash_watch::admission_of(time_point now, fingerprint request_fingerprint) const
{
    if (this->suspects.size() == 0) {
        return admission::free;
    }
    if (this->suspects.state_of(now, request_fingerprint) == quarantine_state::quarantined) {
        return admission::quarantined;
    }
    return this->suspects.runs_singly(request_fingerprint) ? admission::needs_permission : admission::free;
}

bool crash_watch::may_repeat(time_point now, fingerprint request_fingerprint) const
{
    return this->admission_of(now, request_fingerprint) == admission::free;
}

bool crash_watch::has_completed_since(fingerprint request_fingerprint, time_point crashed_at) const
{
    const auto latest = this->completions.latest(request_fingerprint);
    return latest && *latest >= crashed_at - this->configuration.completion_credit;
}

template <typename Change>
void crash_watch::apply_and_track(time_point now, fingerprint request_fingerprint, Change change)
{
    const bool was_quarantined =
        this->suspects.state_of(now, request_fingerprint) == quarantine_state::quarantined;
    change();
    if (!was_quarantined &&
        this->suspects.state_of(now, request_fingerprint) == quarantine_state::quarantined) {
        this->new_quarantines.push_back(*this->suspects.report_of(now, request_fingerprint));
    }
}

bool crash_watch::on_connection_lost(time_point now, const upstream_run& run, fingerprint request_fingerprint)
{
    if (this->has_completed_since(request_fingerprint, now)) {
        return false;
    }
    auto& known = this->lost[run];
    known.lost_at = now;
    if (known.requests.size() < max_lost_requests_of_run) {
        known.requests.insert(request_fingerprint);
    }
    if (this->lost.size() > max_runs_with_lost_requests) {
        this->lost.erase(
            std::ranges::min_element(this->lost, {}, [](const auto& item) { return item.second.lost_at; }));
    }
    return true;
}

std::vector<crash_note> crash_watch::on_upstream_ended(time_point now, const upstream_run& run)
{
    const auto found = this->lost.find(run);
    if (found == this->lost.end()) {
        return {};
    }
    const auto gone = std::move(found->second);
    this->lost.erase(found);
    std::vector<crash_note> notes;
    for (const auto request_fingerprint : gone.requests) {
        if (this->has_completed_since(request_fingerprint, gone.lost_at)) {
            continue;
        }
        const crash_note note{request_fingerprint, run, now - gone.lost_at, false};
        this->apply_and_track(now, request_fingerprint, [&] { this->suspects.on_crash_note(now, note); });
        notes.push_back(note);
    }
    return notes;
}

std::optional<suspect_report> crash_watch::on_completed(time_point now, fingerprint request_fingerprint)
{
    this->completions.record(now, request_fingerprint);
    if (this->suspects.size() == 0) {
        return std::nullopt;
    }
    auto known = this->suspects.report_of(now, request_fingerprint);
    this->suspects.on_completed(request_fingerprint);
    return known;
}

std::optional<suspect_report> crash_watch::on_note(time_point now, const crash_note& note)
{
    if (this->has_completed_since(note.request_fingerprint, now - note.age)) {
        return std::nullopt;
    }
    this->apply_and_track(now, note.request_fingerprint, [&] { this->suspects.on_crash_note(now, note); });
    return this->suspects.report_of(now, note.request_fingerprint);
}

bool crash_watch::on_report(time_point now, const suspect_report& report)
{
    if (this->has_completed_since(report.request_fingerprint, now - report.first_crash_age)) {
        return false;
    }
    if (report.quarantine_left > duration{}) {
        this->suspects.merge(now, report);
    } else {
        this->apply_and_track(now, report.request_fingerprint, [&] { this->suspects.merge(now, report); });
    }
    return true;
}

bool crash_watch::on_cleared(time_point now, fingerprint request_fingerprint)
{
    //! NOTE Reports that are still on their way must not make it a suspect again.
    this->completions.record(now, request_fingerprint);
    return this->suspects.on_completed(request_fingerprint);
}

bool crash_watch::grant_permission(time_point now, fingerprint request_fingerprint)
{
    const auto state = this->suspects.state_of(now, request_fingerprint);
    if (state == quarantine_state::quarantined) {
        return false;
    }
    return state == quarantine_state::clear || this->suspects.begin_trial(now, request_fingerprint);
}

void crash_watch::end_trial(fingerprint request_fingerprint)
{
    if (!this->suspects.was_quarantined(request_fingerprint)) {
        this->suspects.end_trial(request_fingerprint);
    }
}

void crash_watch::on_tick(time_point now)
{
    if (now < this->next_cleanup_at) {
        return;
    }
    this->next_cleanup_at = now + cleanup_interval;
    this->suspects.on_tick(now);
    std::erase_if(this->lost,
                  [now](const auto& item) { return now - item.second.lost_at > lost_request_lifetime; });
}

std::vector<suspect_report> crash_watch::lasting(time_point now) const
{
    return this->suspects.with_crashes(now, this->configuration.crashes_to_run_singly, max_lasting_suspects);
}

std::vector<suspect_report> crash_watch::quarantined(time_point now) const
{
    return this->suspects.quarantined(now, max_reports_in_heartbeat);
}
} // namespace buckthornhill::quarantine
