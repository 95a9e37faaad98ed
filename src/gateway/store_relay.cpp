#include "gateway/store_relay.h"

#include <algorithm>
#include <array>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_translation.h"
#include "gateway/peer_message_codec.h"
#include "global/error.h"
#include "global/log.h"
#include "global/pause_detector.h"
#include "http/body_coding.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
using store::collection;

namespace {
constexpr std::string_view log_part = "relay";
constexpr std::string_view changes_path = "/peer/changes";
constexpr std::string_view first_call_key = "first";
//! Version of the relay's configuration and the age of its confirmation when it received the call. A header,
//! so that followers with the same versions can share one encoded body.
constexpr std::string_view confirmation_header = "Configuration-Confirmation";
constexpr std::string_view era_key = "era";
//! A follower without a response for the sum of both times watches the store itself, well within the two
//! seconds in which a change has to be in force.
constexpr std::chrono::milliseconds follower_wait{700};
constexpr std::chrono::milliseconds response_timeout{400};
constexpr std::chrono::seconds follower_timeout{3}; //!< a follower that has not called for this time is gone
constexpr unsigned status_ok = 200;
constexpr std::array relayed_collections{collection::configuration, collection::upstreams,
                                         collection::evacuations};

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

store_relay::store_relay(boost::asio::io_context& context, const gateway_settings& settings,
                         const fleet_view& store_view, hooks hooks_to_call)
    : view(store_view)
    , callbacks(std::move(hooks_to_call))
    , source(settings.id, settings.where.domain, update_source_configuration{})
    , watcher_configuration(settings.watcher)
    , client(std::make_unique<http::http_client>(context, peer_limits(settings, response_timeout)))
{
}

store_relay::~store_relay() = default;

bool store_relay::is_follower_call(std::string_view target)
{
    return http::path_of(target) == changes_path;
}

void store_relay::set_members(const std::vector<instance_id>& live)
{
    this->source.set_members(live);
    this->report_source_change("the instances of the failure domain changed");
}

void store_relay::on_tick(time_point now)
{
    const bool followed = now < this->followed_until;
    if (std::exchange(this->is_followed, followed) != followed) {
        this->source.set_followed(followed);
        this->callbacks.on_followed_changed(followed);
    }
    this->respond_to_followers(now);
    if (this->is_leaving) {
        return;
    }
    if (const auto relay = this->source.start_relay_call(now)) {
        this->call_relay(now, *relay);
    }
}

void store_relay::on_store_response(time_point now, collection which)
{
    this->confirmed_at[which] = now;
}

void store_relay::on_store_lost(collection which)
{
    this->confirmed_at.erase(which);
}

void store_relay::on_view_changed(time_point now)
{
    this->respond_to_followers(now);
}

void store_relay::on_pause(time_point now)
{
    this->source.on_pause(now);
    this->report_source_change("this process was paused");
}

void store_relay::begin_leave(time_point now)
{
    this->is_leaving = true;
    this->respond_to_followers(now);
}

bool store_relay::has_confirmed_contact(time_point now) const
{
    if (this->is_leaving || !this->source.watches_store() || !this->view.is_complete()) {
        return false;
    }
    return std::ranges::all_of(relayed_collections, [&](collection which) {
        const auto latest = this->confirmed_at.find(which);
        return latest != this->confirmed_at.end() &&
               now - latest->second <= this->watcher_configuration.max_confirmation_age(which);
    });
}

store::store_era store_relay::relayed_era() const
{
    const auto lowest = std::ranges::min_element(
        relayed_collections, {}, [this](collection which) { return this->view.mirror(which).era(); });
    return this->view.mirror(*lowest).era();
}

bool store_relay::is_between_eras() const
{
    return std::ranges::any_of(relayed_collections, [this](collection which) {
        return this->view.mirror(which).era() != this->relayed_era();
    });
}

bool store_relay::is_outdated(const std::map<collection, store::collection_version>& known,
                              collection which) const
{
    const auto version = known.find(which);
    return version == known.end() || this->view.mirror(which).last_change_version() > version->second;
}

bool store_relay::has_updates_for(const follower& waiting) const
{
    //! NOTE A follower that gets one collection of a new era believes only relays that have all of that era.
    //! So it waits until they are listed, which takes less time than its call.
    return !this->is_between_eras() && std::ranges::any_of(relayed_collections, [&](collection which) {
        return this->is_outdated(waiting.known, which);
    });
}

void store_relay::on_follower_call(time_point now, const http::exchange_ptr& exchange)
{
    //! NOTE The first call is answered immediately, because the follower watches the store until it has the
    //! response.
    const bool is_first = http::query_value(exchange->request().target, first_call_key) == "1";
    follower waiting{exchange, {}, is_first ? now : now + follower_wait, time_since_boot()};
    const auto era = http::query_value(exchange->request().target, era_key);
    if (!era.empty()) {
        this->callbacks.on_era(store::store_era(parse_version(era).revision.value()));
    }
    for (const auto which : relayed_collections) {
        const auto version = http::query_value(exchange->request().target, store::to_string(which));
        if (!version.empty()) {
            waiting.known[which] = parse_version(version);
        }
    }
    if (!this->is_leaving && this->source.watches_store()) {
        this->followed_until = now + follower_timeout;
    }
    this->followers.push_back(std::move(waiting));
    this->respond_to_followers(now);
}

void store_relay::respond_to_followers(time_point now)
{
    if (this->followers.empty()) {
        return;
    }
    const bool has_contact = this->has_confirmed_contact(now);
    //! NOTE Most followers have the same versions, so responses are encoded once and shared.
    std::map<std::map<collection, store::collection_version>, http::http_response> responses;
    std::erase_if(this->followers, [&](const follower& waiting) {
        const bool is_due = !has_contact || now >= waiting.deadline || this->has_updates_for(waiting);
        if (is_due) {
            const auto [response, is_new] = responses.try_emplace(waiting.known);
            if (is_new) {
                response->second = http::compressed_json_response(this->updates_since(now, waiting.known));
            }
            waiting.exchange->respond(has_contact ? this->with_confirmation(response->second, waiting)
                                                  : response->second);
        }
        return is_due;
    });
}

http::http_response store_relay::with_confirmation(http::http_response response,
                                                   const follower& waiting) const
{
    if (auto confirmation = this->callbacks.confirmation()) {
        confirmation->age -= time_since_boot() - waiting.received_at;
        response.headers.emplace_back(std::string(confirmation_header),
                                      encode_confirmation_header(*confirmation));
    }
    return response;
}

std::string store_relay::updates_since(time_point now,
                                       const std::map<collection, store::collection_version>& known) const
{
    relay_response response;
    response.era = this->relayed_era();
    response.is_source = this->has_confirmed_contact(now) && !this->is_between_eras();
    if (response.is_source) {
        for (const auto which : relayed_collections) {
            if (this->is_outdated(known, which)) {
                const auto version = known.find(which);
                const auto since = version == known.end() ? store::collection_version() : version->second;
                response.updates.push_back(this->view.mirror(which).changes_since(which, since));
            }
        }
    }
    return encode_relay_response(now, response);
}

void store_relay::call_relay(time_point now, const instance_id& relay)
{
    const auto address = this->callbacks.peer_address_of(relay);
    if (address.empty()) {
        this->source.on_failure(now);
        return;
    }
    http::http_request request;
    request.target = std::string(changes_path) + "?";
    for (const auto which : relayed_collections) {
        const auto& mirror = this->view.mirror(which);
        if (mirror.is_known()) {
            request.target +=
                std::string(store::to_string(which)) + "=" + encode_version(mirror.version()) + "&";
        }
    }
    if (this->view.era() != store::store_era()) {
        request.target += std::string(era_key) + "=" + std::to_string(this->view.era().value()) + "&";
    }
    if (this->source.watches_store()) {
        request.target += std::string(first_call_key) + "=1";
    }
    this->client->send(http::parse_endpoint(address), std::move(request),
                       now + follower_wait + response_timeout, http::connection_choice::reuse,
                       [this, asked_at = time_since_boot()](const http::call_result& result) {
                           this->on_relay_result(result, asked_at);
                       });
}

void store_relay::on_relay_result(const http::call_result& result, std::chrono::nanoseconds asked_at)
{
    const auto now = clock_now();
    relay_response response;
    std::string reason = "the relay has no contact with the store";
    if (result.status != http::call_status::complete || result.response.status != status_ok) {
        reason = "the relay did not respond: " + result.detail;
    } else {
        try {
            response = decode_relay_response(now, http::decompressed_body(result.response.headers,
                                                                          result.response.body,
                                                                          max_peer_message_bytes));
        } catch (const buckthornhill::error& failure) {
            log::event(log_part, "answer_unreadable", {{"reason", failure.what()}});
            reason = "the relay's response cannot be decoded";
        }
    }
    if (response.era < this->view.era()) {
        response = {};
        reason = "the relay does not know the store's current era";
    }
    this->callbacks.on_era(response.era);
    this->source.on_response(now, response.is_source);
    for (const auto& update : response.updates) {
        this->callbacks.on_collection(update);
    }
    if (response.is_source) {
        this->callbacks.on_collections_confirmed();
        if (const auto confirmation =
                decode_confirmation_header(http::find_header(result.response.headers, confirmation_header))) {
            this->callbacks.on_configuration_confirmed(asked_at, *confirmation);
        }
    }
    this->report_source_change(reason);
    this->on_tick(now);
}

void store_relay::report_source_change(std::string_view reason)
{
    const bool watches = this->source.watches_store();
    if (std::exchange(this->was_watching, watches) == watches) {
        return;
    }
    //! NOTE Confirmations from before the change of source are no longer valid.
    this->confirmed_at.clear();
    boost::json::object facts{{"relay", this->source.relay().str()}};
    if (watches) {
        facts["reason"] = reason;
    }
    log::event(log_part, watches ? "watches_store" : "follows", std::move(facts));
    this->callbacks.on_source_changed(watches);
}
} // namespace buckthornhill::gateway
