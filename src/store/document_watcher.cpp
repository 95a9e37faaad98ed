#include "store/document_watcher.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "global/log.h"
#include "http/http_client.h"
#include "lists/list_codec.h"

namespace buckthornhill::store {
namespace {
constexpr std::string_view log_part = "store";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;

} // namespace

struct document_watcher::watch
{
    explicit watch(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    object_version known_version;
    bool was_read = false;
    bool is_failing = false;
    std::chrono::milliseconds backoff{0};
};

document_watcher::document_watcher(boost::asio::io_context& io, http::endpoint server,
                                   const watcher_configuration& settings, event_sink events,
                                   random_hook source)
    : context(io)
    , store(std::move(server))
    , configuration(settings)
    , sink(std::move(events))
    , random(std::move(source))
    , client(std::make_unique<http::http_client>(io, http::client_limits{}))
{
    for (const auto name : lists::all_documents) {
        this->watches.emplace(name, std::make_unique<watch>(io));
    }
}

document_watcher::~document_watcher() = default;

void document_watcher::start()
{
    for (const auto name : lists::all_documents) {
        this->call(name);
    }
}

void document_watcher::call(lists::document_name name)
{
    const auto& state = *this->watches.at(name);
    http::http_request request;
    request.target = path_of_document(name);
    if (state.was_read && !state.is_failing) {
        request.target += "?after=" + std::to_string(state.known_version.value()) +
                          "&wait_ms=" + std::to_string(this->configuration.long_poll_time.count());
    }
    const auto deadline = std::chrono::steady_clock::now() + this->configuration.long_poll_time +
                          this->configuration.call_timeout;
    const auto deadline_without_long_poll =
        std::chrono::steady_clock::now() + this->configuration.call_timeout;
    this->client->send(this->store, std::move(request),
                       state.was_read ? deadline : deadline_without_long_poll, http::connection_choice::reuse,
                       [this, name](const http::call_result& result) { this->on_result(name, result); });
}

void document_watcher::on_result(lists::document_name name, const http::call_result& result)
{
    auto& state = *this->watches.at(name);
    const auto status = result.response.status;
    const bool is_valid_response =
        result.status == http::call_status::complete &&
        (status == status_ok || status == status_not_modified || status == status_not_found);
    if (!is_valid_response) {
        if (!state.is_failing) {
            log::warning(log_part, "The store does not respond for " + std::string(lists::to_string(name)) +
                                       "; the current versions stay in force.");
        }
        state.is_failing = true;
        this->retry_later(name);
        return;
    }
    if (state.is_failing) {
        log::info(log_part, "The store responds again for " + std::string(lists::to_string(name)) + ".");
    }
    const bool was_failing = std::exchange(state.is_failing, false);
    if (!this->deliver(name, result)) {
        this->retry_later(name);
        return;
    }
    state.backoff = std::chrono::milliseconds(0);
    const bool is_first = !std::exchange(state.was_read, true);
    if (is_first || was_failing || status == status_not_modified) {
        this->report_when_all_read();
    }
    this->call(name);
}

bool document_watcher::deliver(lists::document_name name, const http::call_result& result)
{
    auto& state = *this->watches.at(name);
    const auto status = result.response.status;
    if (status == status_not_modified) {
        return true;
    }
    const auto version = status == status_not_found ? object_version{} : version_in(result.response);
    if (version < state.known_version) {
        log::error(log_part, "The store's version went back from " +
                                 std::to_string(state.known_version.value()) + " to " +
                                 std::to_string(version.value()) + " for " +
                                 std::string(lists::to_string(name)) + "; the older version is ignored.");
        return false;
    }
    if (version == state.known_version) {
        return true;
    }
    if (!this->sink({store_event::event_kind::document, name, version, result.response.body})) {
        return false;
    }
    state.known_version = version;
    return true;
}

void document_watcher::retry_later(lists::document_name name)
{
    auto& state = *this->watches.at(name);
    state.backoff =
        std::clamp(state.backoff * 2, this->configuration.min_backoff, this->configuration.max_backoff);
    const auto jitter = std::chrono::milliseconds(
        this->random() % static_cast<std::uint64_t>(this->configuration.min_backoff.count()));
    state.timer.expires_after(state.backoff + jitter);
    state.timer.async_wait([this, name](const boost::system::error_code& failure) {
        if (!failure) {
            this->call(name);
        }
    });
}

void document_watcher::report_when_all_read()
{
    const bool are_all_read = std::all_of(this->watches.begin(), this->watches.end(), [](const auto& item) {
        return item.second->was_read && !item.second->is_failing;
    });
    if (are_all_read) {
        this->sink({store_event::event_kind::all_read, lists::document_name::plans, {}, {}});
    }
}
} // namespace buckthornhill::store
