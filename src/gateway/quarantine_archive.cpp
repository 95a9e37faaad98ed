#include "gateway/quarantine_archive.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "gateway/crash_message_codec.h"
#include "gateway/gateway_translation.h"
#include "global/error.h"
#include "global/grouped_event.h"
#include "global/log.h"

namespace buckthornhill::gateway {
namespace json = boost::json;
using quarantine::archive_schedule;
using quarantine::suspect_report;
using store::collection;
using write_kind = archive_schedule::write_kind;
using write_result = archive_schedule::write_result;

namespace {
constexpr const char* log_part = "quarantine";
constexpr const char* unreadable_event = "archive_unreadable";
constexpr std::chrono::milliseconds check_interval{100};
constexpr std::chrono::milliseconds call_timeout{1500};
//! Between reads of a process that has not read the archive yet, and at least between any two.
constexpr std::chrono::milliseconds retry_delay{700};
//! Well under the time in which a quarantine has to be known.
constexpr std::chrono::milliseconds blind_read_interval{2000};
//! After a restore of the store, until others have surely written again what it lost. Calls that the store
//! did not answer while it was away delay them by a timeout and a retry.
constexpr std::chrono::milliseconds rewriting_time{3000};
constexpr unsigned status_ok = 200;
constexpr unsigned first_failure_status = 300;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds wall_clock()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::string encode(const suspect_report& report)
{
    const auto until = wall_clock().count() + to_milliseconds(report.quarantine_left);
    return json::serialize(
        json::object{{"suspect", encode_suspect_reports({report}).at(0)}, {"quarantined_until_ms", until}});
}

suspect_report decode(const std::string& body)
{
    try {
        const auto spec = json::parse(body).as_object();
        auto report = decode_suspect_reports(json::array{spec.at("suspect")}).at(0);
        //! NOTE A clock that was set ahead ends the quarantine, after which the request runs singly; one that
        //! was set back cannot make it longer than it was.
        const std::chrono::milliseconds until(spec.at("quarantined_until_ms").to_number<std::int64_t>());
        report.quarantine_left =
            std::clamp<duration>(until - wall_clock(), duration{}, report.quarantine_left);
        return report;
    } catch (const std::exception& failure) {
        throw error(std::string("an archived suspect: ") + failure.what());
    }
}

write_result result_of(const http::call_result& result)
{
    if (result.status != http::call_status::complete) {
        return write_result::failed;
    }
    if (result.response.status == status_conflict) {
        return write_result::exists;
    }
    if (result.response.status == status_not_found) {
        return write_result::missing;
    }
    return result.response.status < first_failure_status ? write_result::done : write_result::failed;
}
} // namespace

quarantine_archive::quarantine_archive(boost::asio::io_context& context,
                                       const gateway_settings& initial_settings,
                                       store::store_dialect spelling,
                                       const quarantine::crash_watch& known_suspects,
                                       random_hook random_source, hooks hooks_to_call)
    : settings(initial_settings)
    , dialect(std::move(spelling))
    , suspects(known_suspects)
    , random(std::move(random_source))
    , callbacks(std::move(hooks_to_call))
    , client(std::make_unique<http::http_client>(context, peer_limits(initial_settings, call_timeout)))
{
}

quarantine_archive::~quarantine_archive() = default;

void quarantine_archive::on_tick(time_point now)
{
    if (now < this->next_check_at) {
        return;
    }
    this->next_check_at = now + check_interval;
    if (!this->is_reading && now >= this->next_read_at) {
        if (!this->has_read_all) {
            this->read(false);
        } else if (this->callbacks.has_lost_sight()) {
            this->read(true);
        }
    }
    if (this->suspects.suspect_count() == 0 && this->schedule.is_empty()) {
        return;
    }
    for (const auto& next :
         this->schedule.take_due(now, this->suspects.lasting(now), this->callbacks.is_responsible)) {
        this->make(next);
    }
}

void quarantine_archive::on_crash(time_point now)
{
    const bool has_read_lately = now + blind_read_interval - retry_delay < this->next_read_at;
    if (this->has_read_all && !this->is_reading && !has_read_lately && this->callbacks.has_lost_sight()) {
        this->read(false);
    }
}

void quarantine_archive::on_era(store::store_era latest)
{
    const bool is_restore = this->era != store::store_era() || this->has_read_all;
    this->era = latest;
    if (is_restore) {
        this->schedule.on_store_restored();
        this->restored_at = clock_now();
        this->has_read_all = false;
        this->next_read_at = {};
    }
}

bool quarantine_archive::accept_era(const http::call_result& result)
{
    if (result.status != http::call_status::complete || !this->dialect.decode_era) {
        return true;
    }
    const auto named = this->dialect.decode_era(result.response);
    const auto previous = this->era;
    if (named && *named > previous) {
        this->callbacks.on_era(*named);
    }
    return !named || *named == previous || previous == store::store_era();
}

void quarantine_archive::read(bool may_be_stale)
{
    this->cursor.reset();
    this->read_page(may_be_stale);
}

void quarantine_archive::read_page(bool may_be_stale)
{
    this->is_reading = true;
    this->schedule_read(clock_now());
    this->client->send(this->settings.store_endpoint,
                       this->dialect.list(collection::quarantines, this->cursor.after(), may_be_stale),
                       clock_now() + call_timeout, http::connection_choice::reuse,
                       [this, may_be_stale](const http::call_result& result) {
                           this->is_reading = false;
                           this->on_page(result, may_be_stale);
                       });
}

void quarantine_archive::schedule_read(time_point now)
{
    constexpr std::uint64_t jitter_ms = 300;
    const auto jitter = std::chrono::milliseconds(this->random() % jitter_ms);
    const bool is_rewritten = now - this->restored_at >= rewriting_time;
    this->next_read_at =
        now + (this->has_read_all && is_rewritten ? blind_read_interval : retry_delay) + jitter;
}

void quarantine_archive::on_page(const http::call_result& result, bool may_be_stale)
{
    if (!this->accept_era(result) || result.status != http::call_status::complete ||
        result.response.status != status_ok) {
        return;
    }
    std::vector<suspect_report> reports;
    store::list_page page;
    try {
        page = this->dialect.decode_page(result.response.body);
    } catch (const error& failure) {
        log::event(log_part, unreadable_event, {{"reason", failure.what()}});
        return;
    }
    log::grouped_event unreadable(log_part, unreadable_event);
    for (const auto& object : page.objects) {
        try {
            auto report = decode(this->dialect.extract_body(object.text));
            if (this->schedule.on_stored(report, object.version)) {
                reports.push_back(std::move(report));
            }
        } catch (const error& failure) {
            unreadable.add({{"name", object.name}, {"reason", failure.what()}});
        }
    }
    if (!reports.empty()) {
        this->callbacks.on_read(reports);
    }
    const auto step = this->cursor.advance(page);
    if (step == store::list_cursor::step::next_page) {
        this->read_page(may_be_stale);
        return;
    }
    if (step == store::list_cursor::step::stuck) {
        log::event(log_part, unreadable_event, {{"reason", "the list does not go on"}});
        return;
    }
    this->has_read_all = true;
    this->schedule_read(clock_now());
}

void quarantine_archive::make(const archive_schedule::write& next)
{
    const auto name = next.content.request_fingerprint.str();
    auto request = next.kind == write_kind::remove
                       ? this->dialect.remove(collection::quarantines, name)
                       : this->dialect.put(collection::quarantines, name, encode(next.content),
                                           next.kind == write_kind::replace);
    this->client->send(this->settings.store_endpoint, std::move(request), clock_now() + call_timeout,
                       http::connection_choice::reuse, [this, next](const http::call_result& result) {
                           //! NOTE What was written in an earlier era may be gone.
                           const auto outcome =
                               this->accept_era(result) ? result_of(result) : write_result::failed;
                           this->schedule.on_result(clock_now(), next, outcome);
                           if (outcome == write_result::failed) {
                               log::event(log_part, "archive_failed",
                                          {{"fingerprint", next.content.request_fingerprint.str()},
                                           {"detail", result.detail}});
                           }
                           //! NOTE Another instance wrote the object; what it knows is added before the next
                           //! write.
                           if (outcome == write_result::exists && !this->is_reading) {
                               this->read(false);
                           }
                       });
}
} // namespace buckthornhill::gateway
