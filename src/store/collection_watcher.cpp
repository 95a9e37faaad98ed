#include "store/collection_watcher.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "global/error.h"
#include "global/log.h"
#include "global/pause_detector.h"
#include "http/http_client.h"
#include "http/percent_encoding.h"
#include "store/instance_registration.h"
#include "store/list_cursor.h"

namespace buckthornhill::store {
namespace {
constexpr std::string_view log_part = "store";
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;
constexpr std::chrono::seconds unacknowledged_timeout{2};
constexpr std::chrono::milliseconds shortest_wait{1}; //!< the shortest wait that a long poll can request
time_point now()
{
    return std::chrono::steady_clock::now();
}

http::client_limits limits_of(const collection_watcher_configuration& configuration)
{
    http::client_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.connect_timeout = configuration.poll_timeout;
    limits.unacknowledged_timeout = unacknowledged_timeout;
    return limits;
}

std::string describe(const http::call_result& result)
{
    if (result.status == http::call_status::complete) {
        return "status " + std::to_string(result.response.status);
    }
    return result.detail.empty() ? "no response" : result.detail;
}
} // namespace

struct collection_watcher::watch
{
    explicit watch(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    object_version version;
    bool is_listed = false;
    bool is_in_contact = false;
    bool skips_next_wait = false; //!< the next long poll requests an immediate response
    bool is_call_in_progress = false;
    bool awaits_contact = false;   //!< called again once another collection is in contact
    bool was_delivered = false;    //!< since the process started
    bool has_lost_contact = false; //!< contact was lost after the known state was received
    time_point contact_since{};
    //! After the latest outage in which objects may have expired.
    std::optional<time_point> lapse_deadline;
    //! The latest response at which contact had lasted for so long that all objects had been renewed.
    time_point renewed_at{};
    time_point changed_at{};
    time_point called_at{};
    time_point responded_at{};
    std::chrono::nanoseconds asked_at{}; //!< since boot, for the first page of a list
    std::chrono::milliseconds backoff{0};
    std::chrono::milliseconds change_pause{0};
    http::call_id call;
    list_cursor cursor;
    std::vector<object_change> listed_objects; //!< objects from the pages of a list that is not complete yet
    object_version first_page_version;         //!< all pages are at least as new
};

collection_watcher::collection_watcher(boost::asio::io_context& io, http::endpoint address,
                                       store_dialect spelling,
                                       const collection_watcher_configuration& settings, event_sink events,
                                       random_hook source)
    : context(io)
    , server(std::move(address))
    , dialect(std::move(spelling))
    , configuration(settings)
    , sink(std::move(events))
    , random(std::move(source))
    , client(std::make_unique<http::http_client>(io, limits_of(settings)))
    , registration(std::make_unique<instance_registration>(
          io, *this->client, this->server, this->dialect, settings,
          [this](const http::http_response& response) {
              if (this->dialect.decode_era) {
                  this->on_era(this->dialect.decode_era(response).value_or(store_era()));
              }
          }))
{
    for (const auto which : all_collections) {
        this->watches.emplace(which, std::make_unique<watch>(io));
    }
}

collection_watcher::~collection_watcher() = default;

std::chrono::milliseconds collection_watcher::long_poll_duration(collection which) const
{
    const auto& state = *this->watches.at(which);
    //! NOTE After a loss of contact the store is asked to respond immediately. Only a response shows that it
    //! is reachable again, and the time of that response decides which missing entries may merely have
    //! expired.
    if (!state.is_in_contact || state.skips_next_wait) {
        return shortest_wait;
    }
    if (!this->has_dependent_instances) {
        return this->configuration.poll_duration(which);
    }
    //! NOTE The first long poll follows the first list after a longer pause than the others.
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - state.responded_at);
    return this->configuration.poll_duration_with_dependents(which, age);
}

std::chrono::milliseconds collection_watcher::current_max_pause() const
{
    return this->has_dependent_instances ? this->configuration.max_pause_with_dependents
                                         : this->configuration.max_pause;
}

void collection_watcher::call(collection which)
{
    if (this->is_suspended) {
        return;
    }
    auto& state = *this->watches.at(which);
    state.is_call_in_progress = true;
    state.awaits_contact = false;
    state.called_at = now();
    if (state.is_listed || state.cursor.is_at_start()) {
        state.asked_at = time_since_boot();
    }
    if (state.is_listed) {
        const auto wait = this->long_poll_duration(which);
        state.skips_next_wait = false;
        state.call = this->client->send(
            this->server, this->dialect.watch(which, state.version, wait),
            state.called_at + wait + this->configuration.poll_timeout, http::connection_choice::reuse,
            [this, which](const http::call_result& result) { this->on_watch_result(which, result); });
        return;
    }
    state.call = this->client->send(
        this->server, this->dialect.list(which, state.cursor.after(), false),
        state.called_at + this->configuration.list_timeout, http::connection_choice::reuse,
        [this, which](const http::call_result& result) { this->on_list_result(which, result); });
}

void collection_watcher::on_list_result(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.is_call_in_progress = false;
    if (result.status == http::call_status::cancelled) {
        state.listed_objects.clear();
        state.cursor.reset();
        this->call(which);
        return;
    }
    if (!this->accept_era(which, result)) {
        return;
    }
    if (result.status != http::call_status::complete || result.response.status != status_ok) {
        this->on_failure(which, result);
        return;
    }
    try {
        auto page = this->dialect.decode_page(result.response.body);
        this->on_contact(which);
        if (state.cursor.is_at_start()) {
            state.first_page_version = page.version;
        }
        for (auto& object : page.objects) {
            state.listed_objects.push_back({std::move(object), false});
        }
        const auto step = state.cursor.advance(page);
        if (step == list_cursor::step::next_page) {
            this->call(which);
            return;
        }
        if (step == list_cursor::step::stuck) {
            this->on_stuck_list(which);
            return;
        }
        //! NOTE An object of an earlier page may have changed before the last page was read. Watching from
        //! the first page on repeats some changes and misses none.
        collection_update update{which, true, this->lapse_deadline(state), state.first_page_version, {}};
        update.changes = std::exchange(state.listed_objects, {});
        state.cursor.reset();
        state.is_listed = true;
        this->deliver(which, std::move(update));
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part, std::string("Could not parse a list from the store: ") + failure.what() + ".");
        this->on_failure(which, result);
    }
}

void collection_watcher::on_stuck_list(collection which)
{
    auto& state = *this->watches.at(which);
    log::event(log_part, "list_stuck",
               {{"collection", to_string(which)}, {"after", http::percent_encoded(state.cursor.after())}});
    state.listed_objects.clear();
    state.cursor.reset();
    this->retry_later(which);
}

void collection_watcher::on_watch_result(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.is_call_in_progress = false;
    if (result.status == http::call_status::cancelled) {
        this->call(which);
        return;
    }
    if (!this->accept_era(which, result)) {
        return;
    }
    const bool is_complete = result.status == http::call_status::complete;
    if (is_complete && result.response.status == status_gone) {
        log::info(log_part, "The store no longer has the history of " + std::string(to_string(which)) +
                                "; listing it again.");
        state.is_listed = false;
        this->call(which);
        return;
    }
    if (!is_complete || result.response.status != status_ok) {
        this->on_failure(which, result);
        return;
    }
    try {
        auto batch = this->dialect.decode_changes(result.response.body);
        this->on_contact(which);
        for (auto& change : batch.changes) {
            change.lapse_deadline = change.is_removed ? this->lapse_deadline(state) : std::nullopt;
        }
        this->deliver(which, {which, false, {}, batch.version, std::move(batch.changes)});
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part,
                     std::string("Could not parse changes from the store: ") + failure.what() + ".");
        state.is_listed = false;
        this->on_failure(which, result);
    }
}

void collection_watcher::deliver(collection which, collection_update update)
{
    auto& state = *this->watches.at(which);
    state.backoff = std::chrono::milliseconds(0);
    update.asked_at = state.asked_at;
    const auto version = update.version;
    const bool has_changes = !update.changes.empty();
    const bool is_first = !std::exchange(state.was_delivered, true);
    update.era = this->era;
    if (!this->sink(std::move(update))) {
        state.is_listed = false;
        this->retry_later(which);
        return;
    }
    state.version = version;
    if (which == collection::instances) {
        state.is_listed = false;
        this->call_later(which, this->configuration.instances_interval);
        return;
    }
    if (is_first) {
        //! NOTE No instance can serve requests without a configuration. While there is none, the next call
        //! follows after the shortest pause.
        const bool is_urgent = which == collection::configuration && !has_changes;
        this->call_later(which, is_urgent ? this->configuration.min_pause : this->configuration.first_pause);
        return;
    }
    this->call_after_pause(which, has_changes);
}

void collection_watcher::call_after_pause(collection which, bool has_changes)
{
    if (!has_changes) {
        this->call(which);
        return;
    }
    auto& state = *this->watches.at(which);
    const auto time = now();
    const bool is_change_burst = time - state.changed_at < 2 * this->configuration.max_pause;
    state.change_pause = is_change_burst ? std::clamp(state.change_pause * 2, this->configuration.min_pause,
                                                      this->current_max_pause())
                                         : this->configuration.min_pause;
    state.changed_at = time;
    this->call_later(which, state.change_pause);
}

void collection_watcher::on_contact(collection which)
{
    auto& state = *this->watches.at(which);
    if (which != collection::instances) {
        this->last_in_contact = which;
    }
    const auto time = now();
    state.responded_at = time;
    if (state.is_in_contact) {
        if (time - state.contact_since >= this->configuration.renewal_interval) {
            state.renewed_at = time;
        }
        return;
    }
    state.is_in_contact = true;
    state.contact_since = time;
    //! NOTE The first contact of a process that has no state yet does not count as the end of an outage.
    const bool is_restored = std::exchange(state.has_lost_contact, false);
    const bool may_have_expired =
        is_restored && time - state.renewed_at >= this->configuration.shortest_expiring_outage();
    state.lapse_deadline.reset();
    if (may_have_expired) {
        state.lapse_deadline = this->configuration.lapse_deadline(this->failed_call_at, time);
    }
    this->sink(contact_change{which, true, {}, state.lapse_deadline});
    if (is_restored) {
        this->call_others_after_outage(state);
    }
}

void collection_watcher::call_others_after_outage(const watch& restored)
{
    for (auto& [which, other] : this->watches) {
        if (other->awaits_contact) {
            other->timer.cancel();
            this->call(which);
        } else if (other->is_call_in_progress && other->is_listed && other->called_at < restored.called_at) {
            this->client->cancel(other->call);
        }
    }
}

bool collection_watcher::has_contact() const
{
    return std::ranges::any_of(this->watches, [](const auto& item) {
        return item.first != collection::instances && item.second->is_in_contact;
    });
}

std::optional<time_point> collection_watcher::lapse_deadline(const watch& state) const
{
    const bool is_over = state.lapse_deadline && now() >= *state.lapse_deadline;
    return is_over ? std::nullopt : state.lapse_deadline;
}

void collection_watcher::on_failure(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.listed_objects.clear();
    state.cursor.reset();
    state.has_lost_contact = state.has_lost_contact || state.is_in_contact || state.is_listed;
    this->failed_call_at = std::max(this->failed_call_at, state.called_at);
    if (state.is_in_contact) {
        state.is_in_contact = false;
        this->sink(contact_change{which, false, describe(result)});
    }
    //! NOTE A timeout has already spaced the calls. A longer pause would only delay the end of the outage.
    if (result.status == http::call_status::timed_out) {
        state.backoff = std::chrono::milliseconds(0);
    }
    if (which != this->last_in_contact && !this->has_contact()) {
        state.awaits_contact = true;
        this->call_later(which, this->configuration.recovery_bound + this->draw_jitter());
        return;
    }
    this->retry_later(which);
}

void collection_watcher::retry_later(collection which)
{
    auto& state = *this->watches.at(which);
    state.backoff =
        std::clamp(state.backoff * 2, this->configuration.min_backoff, this->configuration.max_backoff);
    this->call_later(which, state.backoff + this->draw_jitter());
}

std::chrono::milliseconds collection_watcher::draw_jitter()
{
    return std::chrono::milliseconds(this->random() %
                                     static_cast<std::uint64_t>(this->configuration.min_backoff.count()));
}

void collection_watcher::call_later(collection which, std::chrono::milliseconds delay)
{
    auto& state = *this->watches.at(which);
    state.timer.expires_after(delay);
    state.timer.async_wait([this, which](const boost::system::error_code& failure) {
        if (!failure && !this->watches.at(which)->is_call_in_progress) {
            this->call(which);
        }
    });
}

void collection_watcher::refresh(collection which)
{
    auto& state = *this->watches.at(which);
    if (state.is_in_contact && state.is_listed) {
        this->client->cancel(state.call);
    } else if (which == collection::instances && !state.is_call_in_progress) {
        state.timer.cancel();
        this->call(which);
    }
}

void collection_watcher::check(collection which)
{
    auto& state = *this->watches.at(which);
    if (this->is_suspended || !state.is_in_contact || !state.is_listed) {
        return;
    }
    state.skips_next_wait = true;
    if (state.is_call_in_progress) {
        this->client->cancel(state.call);
    } else {
        state.timer.cancel();
        this->call(which);
    }
}

void collection_watcher::suspend()
{
    this->is_suspended = true;
    for (auto& [which, state] : this->watches) {
        state->timer.cancel();
        this->client->cancel(state->call);
    }
}

void collection_watcher::resume(const std::map<collection, collection_version>& known)
{
    if (!this->is_suspended) {
        return;
    }
    for (const auto& [which, version] : known) {
        this->on_era(version.era);
    }
    this->is_suspended = false;
    for (auto& [which, state] : this->watches) {
        const auto version = known.find(which);
        if (version != known.end() && version->second.era == this->era) {
            const auto revision = version->second.revision;
            state->version = state->is_listed ? std::max(state->version, revision) : revision;
            state->is_listed = true;
            state->skips_next_wait = true;
        }
        //! NOTE A call that is being cancelled is repeated when its result arrives.
        if (!state->is_call_in_progress) {
            this->call(which);
        }
    }
}

bool collection_watcher::on_era(store_era latest)
{
    if (latest <= this->era) {
        return false;
    }
    const auto previous = std::exchange(this->era, latest);
    const bool is_restore =
        std::ranges::any_of(this->watches, [](const auto& item) { return item.second->is_listed; });
    if (is_restore || previous != store_era()) {
        for (auto& [which, state] : this->watches) {
            this->list_again(which);
        }
        this->registration->restore();
    }
    this->sink(era_change{latest, previous});
    return is_restore || previous != store_era();
}

void collection_watcher::list_again(collection which)
{
    auto& state = *this->watches.at(which);
    state.is_listed = false;
    state.listed_objects.clear();
    state.cursor.reset();
    if (state.is_call_in_progress) {
        this->client->cancel(state.call);
    } else if (!this->is_suspended) {
        state.timer.cancel();
        this->call(which);
    }
}

bool collection_watcher::accept_era(collection which, const http::call_result& result)
{
    if (result.status != http::call_status::complete || !this->dialect.decode_era) {
        return true;
    }
    const auto named = this->dialect.decode_era(result.response);
    if (named && *named < this->era) {
        log::info(log_part, "Ignored a late response of an earlier era of the store for " +
                                std::string(to_string(which)) + ".");
        this->retry_later(which);
        return false;
    }
    return !named || !this->on_era(*named);
}

void collection_watcher::set_has_dependent_instances(bool has_dependents)
{
    if (std::exchange(this->has_dependent_instances, has_dependents) != has_dependents && has_dependents) {
        for (const auto& [which, bound] : this->configuration.change_bounds) {
            this->refresh(which);
        }
    }
}

void collection_watcher::publish_instance(const std::string& name, const std::string& body,
                                          std::function<bool(const stored_object&)> is_older)
{
    this->registration->publish(name, body, std::move(is_older));
}

void collection_watcher::withdraw_instance(const std::string& name)
{
    this->registration->withdraw(name);
}
} // namespace buckthornhill::store
