#include "quarantine/archive_schedule.h"

#include <algorithm>
#include <set>

namespace buckthornhill::quarantine {
namespace {
//! Most innocent suspects complete within this time, and then need no write.
constexpr std::chrono::milliseconds settling_time{300};
constexpr std::chrono::milliseconds retry_delay{500};
} // namespace

bool archive_schedule::on_stored(const suspect_report& content, object_version version)
{
    auto& known = this->objects[content.request_fingerprint];
    const bool is_new = !known.is_stored || known.version < version;
    known.is_stored = true;
    known.runs = content.runs.size();
    known.quarantines = content.quarantines;
    known.version = version;
    return is_new;
}

std::vector<archive_schedule::write>
archive_schedule::take_due(time_point now, const std::vector<suspect_report>& lasting,
                           const std::function<bool(fingerprint)>& is_responsible)
{
    std::vector<write> due;
    const auto add = [&](stored_suspect& known, write next) {
        if (!known.is_being_written && now >= known.next_write_at &&
            is_responsible(next.content.request_fingerprint)) {
            known.is_being_written = true;
            due.push_back(std::move(next));
        }
    };
    std::set<fingerprint> wanted;
    for (const auto& report : lasting) {
        wanted.insert(report.request_fingerprint);
        if (report.quarantines == 0 && report.last_crash_age < settling_time) {
            continue;
        }
        auto& known = this->objects[report.request_fingerprint];
        if (!known.is_stored) {
            add(known, {write_kind::create, report});
        } else if (known.runs < report.runs.size() || known.quarantines < report.quarantines) {
            add(known, {write_kind::replace, report});
        }
    }
    std::erase_if(this->objects, [&](const auto& item) {
        return !item.second.is_stored && !item.second.is_being_written && !wanted.contains(item.first);
    });
    for (auto& [print, known] : this->objects) {
        if (known.is_stored && !wanted.contains(print)) {
            add(known, {write_kind::remove, suspect_report{print, {}, {}, {}, {}, 0}});
        }
    }
    return due;
}

void archive_schedule::on_store_restored()
{
    for (auto& [print, known] : this->objects) {
        known.is_stored = false;
        known.version = {};
    }
}

void archive_schedule::on_result(time_point now, const write& finished, write_result result)
{
    auto& known = this->objects[finished.content.request_fingerprint];
    known.is_being_written = false;
    switch (result) {
    case write_result::done:
        known.is_stored = finished.kind != write_kind::remove;
        known.runs = finished.content.runs.size();
        known.quarantines = finished.content.quarantines;
        break;
    case write_result::exists:
        known.is_stored = true;
        known.runs = 0;
        known.quarantines = 0;
        known.next_write_at = now + retry_delay;
        break;
    case write_result::missing:
        known.is_stored = false;
        break;
    case write_result::failed:
        known.next_write_at = now + retry_delay;
        break;
    }
}
} // namespace buckthornhill::quarantine
