#include "store/collection_watcher.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "global/error.h"
#include "global/log.h"
#include "http/http_client.h"

namespace buckthornhill::store {
namespace {
constexpr std::string_view log_part = "store";
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned first_failure_status = 300;
constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;
constexpr std::chrono::seconds unacknowledged_timeout{2};
constexpr std::chrono::milliseconds at_once{1}; //!< the shortest wait that a call can ask for

time_point now()
{
    return std::chrono::steady_clock::now();
}

http::client_limits limits_of(const collection_watcher_configuration& configuration)
{
    http::client_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.connect_timeout = configuration.call_timeout;
    limits.unacknowledged_timeout = unacknowledged_timeout;
    return limits;
}

std::string describe(const http::call_result& result)
{
    if (result.status == http::call_status::complete) {
        return "status " + std::to_string(result.response.status);
    }
    return result.detail.empty() ? "no answer" : result.detail;
}
} // namespace

struct collection_watcher::watch
{
    explicit watch(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    object_version at;
    bool is_listed = false;
    bool is_in_contact = false;
    bool asks_at_once = false; //!< the next call is not to wait
    bool is_calling = false;
    bool was_delivered = false; //!< since the process started
    bool was_lost = false;      //!< what is known is from before a loss of contact
    time_point contact_since{};
    time_point changed_at{};
    std::chrono::milliseconds backoff{0};
    std::chrono::milliseconds pause{0};
    http::call_id call;
    std::string list_after;
    std::vector<object_change> pages; //!< of a list that is not complete yet
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
    , publish_again(std::make_unique<boost::asio::steady_timer>(io))
{
    for (const auto which : all_collections) {
        this->watches.emplace(which, std::make_unique<watch>(io));
    }
}

collection_watcher::~collection_watcher() = default;

std::chrono::milliseconds collection_watcher::wait_of(collection which) const
{
    const auto& state = *this->watches.at(which);
    //! NOTE Out of contact the store is asked to answer at once: only an answer shows that it is back, and
    //! from its return on it is known what may only have lapsed.
    if (!state.is_in_contact || state.asks_at_once) {
        return at_once;
    }
    const bool confirms = this->is_confirming && which == collection::upstreams;
    return confirms ? this->configuration.confirming_wait : this->configuration.wait;
}

std::chrono::milliseconds collection_watcher::longest_pause() const
{
    return this->is_confirming ? this->configuration.confirming_pause : this->configuration.max_pause;
}

void collection_watcher::call(collection which)
{
    if (this->is_suspended) {
        return;
    }
    auto& state = *this->watches.at(which);
    state.is_calling = true;
    if (state.is_listed) {
        const auto wait = this->wait_of(which);
        state.asks_at_once = false;
        state.call = this->client->send(
            this->server, this->dialect.watch(which, state.at, wait),
            now() + wait + this->configuration.call_timeout, http::connection_choice::reuse,
            [this, which](const http::call_result& result) { this->on_watch_result(which, result); });
        return;
    }
    state.call = this->client->send(
        this->server, this->dialect.list(which, state.list_after), now() + this->configuration.call_timeout,
        http::connection_choice::reuse,
        [this, which](const http::call_result& result) { this->on_list_result(which, result); });
}

void collection_watcher::on_list_result(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.is_calling = false;
    if (result.status == http::call_status::cancelled) {
        state.pages.clear();
        state.list_after.clear();
        this->call(which);
        return;
    }
    if (result.status != http::call_status::complete || result.response.status != status_ok) {
        this->on_failure(which, result);
        return;
    }
    try {
        auto page = this->dialect.decode_page(result.response.body);
        this->on_contact(state);
        for (auto& object : page.objects) {
            state.list_after = object.name;
            state.pages.push_back({std::move(object), false});
        }
        if (page.has_more && !state.list_after.empty()) {
            this->call(which);
            return;
        }
        collection_update update{which, true, this->is_after_outage(state), page.at, {}};
        update.changes = std::exchange(state.pages, {});
        state.list_after.clear();
        state.is_listed = true;
        this->deliver(which, std::move(update));
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part, std::string("A list could not be read: ") + failure.what() + ".");
        this->on_failure(which, result);
    }
}

void collection_watcher::on_watch_result(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.is_calling = false;
    if (result.status == http::call_status::cancelled) {
        this->call(which);
        return;
    }
    const bool is_answer = result.status == http::call_status::complete;
    if (is_answer && result.response.status == status_gone) {
        log::info(log_part,
                  "The history of " + std::string(to_string(which)) + " is gone; it is listed anew.");
        state.is_listed = false;
        this->call(which);
        return;
    }
    if (!is_answer || result.response.status != status_ok) {
        this->on_failure(which, result);
        return;
    }
    try {
        auto batch = this->dialect.decode_changes(result.response.body);
        this->on_contact(state);
        this->deliver(which,
                      {which, false, this->is_after_outage(state), batch.at, std::move(batch.changes)});
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part, std::string("Changes could not be read: ") + failure.what() + ".");
        state.is_listed = false;
        this->on_failure(which, result);
    }
}

void collection_watcher::deliver(collection which, collection_update update)
{
    auto& state = *this->watches.at(which);
    const auto at = update.at;
    const bool has_changes = !update.changes.empty();
    const bool is_first = !std::exchange(state.was_delivered, true);
    if (!this->sink(std::move(update))) {
        state.is_listed = false;
        this->retry_later(which);
        return;
    }
    state.at = at;
    if (which == collection::instances) {
        state.is_listed = false;
        this->call_later(which, this->configuration.instances_interval);
        return;
    }
    if (is_first) {
        //! NOTE Without a configuration nobody can serve, so its first version is not waited for.
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
    const bool goes_on = time - state.changed_at < 2 * this->configuration.max_pause;
    state.pause = goes_on ? std::clamp(state.pause * 2, this->configuration.min_pause, this->longest_pause())
                          : this->configuration.min_pause;
    state.changed_at = time;
    this->call_later(which, state.pause);
}

void collection_watcher::on_contact(watch& state)
{
    state.backoff = std::chrono::milliseconds(0);
    if (state.is_in_contact) {
        return;
    }
    state.is_in_contact = true;
    //! NOTE The first contact of a process that knows nothing yet follows no outage.
    state.contact_since = state.was_lost ? now() : time_point{};
    state.was_lost = false;
    for (const auto& [which, candidate] : this->watches) {
        if (candidate.get() == &state) {
            this->sink(contact_change{which, true, {}});
        }
    }
}

bool collection_watcher::is_after_outage(const watch& state) const
{
    return state.contact_since != time_point{} &&
           now() - state.contact_since < this->configuration.outage_memory;
}

void collection_watcher::on_failure(collection which, const http::call_result& result)
{
    auto& state = *this->watches.at(which);
    state.pages.clear();
    state.list_after.clear();
    state.was_lost = state.was_lost || state.is_in_contact || state.is_listed;
    if (state.is_in_contact) {
        state.is_in_contact = false;
        this->sink(contact_change{which, false, describe(result)});
    }
    this->retry_later(which);
}

void collection_watcher::retry_later(collection which)
{
    auto& state = *this->watches.at(which);
    state.backoff =
        std::clamp(state.backoff * 2, this->configuration.min_backoff, this->configuration.max_backoff);
    const auto jitter = std::chrono::milliseconds(
        this->random() % static_cast<std::uint64_t>(this->configuration.min_backoff.count()));
    this->call_later(which, state.backoff + jitter);
}

void collection_watcher::call_later(collection which, std::chrono::milliseconds delay)
{
    auto& state = *this->watches.at(which);
    state.timer.expires_after(delay);
    state.timer.async_wait([this, which](const boost::system::error_code& failure) {
        if (!failure) {
            this->call(which);
        }
    });
}

void collection_watcher::refresh(collection which)
{
    const auto& state = *this->watches.at(which);
    if (state.is_in_contact && state.is_listed) {
        this->client->cancel(state.call);
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

void collection_watcher::resume(const std::map<collection, object_version>& known)
{
    if (!std::exchange(this->is_suspended, false)) {
        return;
    }
    for (auto& [which, state] : this->watches) {
        const auto version = known.find(which);
        if (version != known.end()) {
            state->at = state->is_listed ? std::max(state->at, version->second) : version->second;
            state->is_listed = true;
            state->asks_at_once = true;
        }
        //! NOTE A call that is being cancelled is made again when its end is heard of.
        if (!state->is_calling) {
            this->call(which);
        }
    }
}

void collection_watcher::set_confirming(bool confirms)
{
    if (std::exchange(this->is_confirming, confirms) != confirms && confirms) {
        this->refresh(collection::upstreams);
    }
}

void collection_watcher::publish_instance(const std::string& name, const std::string& body)
{
    this->instance_name = name;
    this->instance_body = body;
    this->publish(false);
}

void collection_watcher::publish(bool exists)
{
    auto request = this->dialect.put(collection::instances, this->instance_name, this->instance_body, exists);
    this->client->send(this->server, std::move(request), now() + this->configuration.call_timeout,
                       http::connection_choice::reuse, [this, exists](const http::call_result& result) {
                           const bool is_answer = result.status == http::call_status::complete;
                           if (is_answer && result.response.status < first_failure_status) {
                               log::info(log_part,
                                         "This instance is registered as " + this->instance_name + ".");
                               return;
                           }
                           //! NOTE The object of an earlier run, or of a create whose answer was lost, is
                           //! replaced.
                           if (is_answer && result.response.status == status_conflict && !exists) {
                               this->publish(true);
                               return;
                           }
                           this->publish_again->expires_after(this->configuration.max_backoff);
                           this->publish_again->async_wait([this](const boost::system::error_code& failure) {
                               if (!failure) {
                                   this->publish(false);
                               }
                           });
                       });
}

void collection_watcher::withdraw_instance(const std::string& name)
{
    this->publish_again->cancel();
    this->client->send(this->server, this->dialect.remove(collection::instances, name),
                       now() + this->configuration.call_timeout, http::connection_choice::reuse,
                       [](const http::call_result& result) {
                           if (result.status != http::call_status::complete) {
                               log::warning(log_part,
                                            "This instance is still registered: " + describe(result) + ".");
                           }
                       });
}
} // namespace buckthornhill::store
