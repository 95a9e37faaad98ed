#include "gateway/store_relay.h"

#include <algorithm>
#include <array>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_translation.h"
#include "gateway/news_codec.h"
#include "global/error.h"
#include "global/log.h"
#include "http/body_coding.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
using store::collection;

namespace {
constexpr std::string_view log_part = "relay";
constexpr std::string_view changes_path = "/peer/changes";
constexpr std::string_view first_call_key = "first";
//! A follower that hears nothing for both together turns to the store, well inside the two seconds in which a
//! change has to be in force.
constexpr std::chrono::milliseconds follower_wait{700};
constexpr std::chrono::milliseconds answer_timeout{400};
//! Age of the store's last answer up to which this instance vouches for it: the pause and the wait between
//! two confirming calls, and some hundred milliseconds for a slow machine or a slow store.
constexpr std::chrono::milliseconds confirmation_age{1550};
constexpr std::chrono::seconds followed_memory{3}; //!< a follower that has not called for so long is gone
constexpr unsigned status_ok = 200;
constexpr std::array relayed{collection::configuration, collection::upstreams, collection::evacuations};

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

store_relay::store_relay(boost::asio::io_context& context, const gateway_settings& settings,
                         const fleet_view& known, hooks reactions)
    : view(known)
    , callbacks(std::move(reactions))
    , source(settings.id, settings.where.domain, news_source_configuration{})
    , client(std::make_unique<http::http_client>(context, peer_limits(settings, answer_timeout)))
{
}

store_relay::~store_relay() = default;

bool store_relay::is_call(std::string_view target)
{
    return http::path_of(target) == changes_path;
}

void store_relay::set_members(const std::vector<instance_id>& live)
{
    this->source.set_members(live);
    this->report_source("the instances of the failure domain changed");
}

void store_relay::on_tick(time_point now)
{
    const bool followed = now < this->followed_until;
    if (std::exchange(this->is_followed, followed) != followed) {
        this->source.set_followed(followed);
        this->callbacks.on_followed_changed(followed);
    }
    this->answer_followers(now);
    if (this->is_leaving) {
        return;
    }
    if (const auto relay = this->source.next_call(now)) {
        this->call(now, *relay);
    }
}

void store_relay::on_store_answer(time_point now, collection which)
{
    this->confirmed_at[which] = now;
}

void store_relay::on_store_lost(collection which)
{
    this->confirmed_at.erase(which);
}

void store_relay::on_view_changed(time_point now)
{
    this->answer_followers(now);
}

void store_relay::on_doubt(time_point now)
{
    this->source.on_doubt(now);
    this->report_source("this process stood still");
}

void store_relay::begin_leave(time_point now)
{
    this->is_leaving = true;
    this->answer_followers(now);
}

bool store_relay::is_in_touch(time_point now) const
{
    if (this->is_leaving || !this->source.watches_store() || !this->view.is_complete()) {
        return false;
    }
    //! NOTE The upstreams' calls are the ones that confirm; the others wait longer.
    const auto latest = this->confirmed_at.find(collection::upstreams);
    return latest != this->confirmed_at.end() && now - latest->second <= confirmation_age &&
           this->confirmed_at.contains(collection::configuration) &&
           this->confirmed_at.contains(collection::evacuations);
}

bool store_relay::lacks(const std::map<collection, object_version>& known, collection which) const
{
    const auto version = known.find(which);
    return version == known.end() || this->view.mirror(which).changed_at() > version->second;
}

bool store_relay::has_news_for(const follower& waiting) const
{
    return std::ranges::any_of(relayed, [&](collection which) { return this->lacks(waiting.known, which); });
}

void store_relay::on_follower(time_point now, const http::exchange_ptr& exchange)
{
    //! NOTE Until the first answer a follower still watches the store, so that one is not held back.
    const bool is_first = http::query_value(exchange->request().target, first_call_key) == "1";
    follower waiting{exchange, {}, is_first ? now : now + follower_wait};
    for (const auto which : relayed) {
        const auto version = http::query_value(exchange->request().target, store::to_string(which));
        if (!version.empty()) {
            waiting.known[which] = parse_version(version);
        }
    }
    if (!this->is_leaving && this->source.watches_store()) {
        this->followed_until = now + followed_memory;
    }
    this->followers.push_back(std::move(waiting));
    this->answer_followers(now);
}

void store_relay::answer_followers(time_point now)
{
    if (this->followers.empty()) {
        return;
    }
    const bool in_touch = this->is_in_touch(now);
    //! NOTE Most followers know the same versions, so one answer serves them all.
    std::map<std::map<collection, object_version>, http::http_response> answers;
    std::erase_if(this->followers, [&](const follower& waiting) {
        const bool is_due = !in_touch || now >= waiting.until || this->has_news_for(waiting);
        if (is_due) {
            const auto [answer, is_new] = answers.try_emplace(waiting.known);
            if (is_new) {
                answer->second = http::compressed_json_response(this->news_since(now, waiting.known));
            }
            waiting.exchange->respond(answer->second);
        }
        return is_due;
    });
}

std::string store_relay::news_since(time_point now, const std::map<collection, object_version>& known) const
{
    relay_answer answer;
    answer.is_source = this->is_in_touch(now);
    if (answer.is_source) {
        for (const auto which : relayed) {
            if (this->lacks(known, which)) {
                const auto version = known.find(which);
                const auto since = version == known.end() ? object_version() : version->second;
                answer.updates.push_back(this->view.mirror(which).changes_since(which, since));
            }
        }
    }
    return encode_relay_answer(answer);
}

void store_relay::call(time_point now, const instance_id& relay)
{
    const auto address = this->callbacks.peer_address_of(relay);
    if (address.empty()) {
        this->source.on_failure(now);
        return;
    }
    http::http_request request;
    request.target = std::string(changes_path) + "?";
    for (const auto which : relayed) {
        const auto& mirror = this->view.mirror(which);
        if (mirror.is_known()) {
            request.target +=
                std::string(store::to_string(which)) + "=" + std::to_string(mirror.at().value()) + "&";
        }
    }
    if (this->source.watches_store()) {
        request.target += std::string(first_call_key) + "=1";
    }
    this->client->send(http::parse_endpoint(address), std::move(request),
                       now + follower_wait + answer_timeout, http::connection_choice::reuse,
                       [this](const http::call_result& result) { this->on_result(result); });
}

void store_relay::on_result(const http::call_result& result)
{
    const auto now = clock_now();
    relay_answer answer;
    std::string reason = "the relay is out of touch with the store";
    if (result.status != http::call_status::complete || result.response.status != status_ok) {
        reason = "the relay did not answer: " + result.detail;
    } else {
        try {
            answer = decode_relay_answer(http::decompressed_body(
                result.response.headers, result.response.body, max_peer_message_bytes));
        } catch (const buckthornhill::error& failure) {
            log::event(log_part, "answer_unreadable", {{"reason", failure.what()}});
            reason = "the relay's answer cannot be read";
        }
    }
    this->source.on_answer(now, answer.is_source);
    for (const auto& update : answer.updates) {
        this->callbacks.on_collection(update);
    }
    this->report_source(reason);
    this->on_tick(now);
}

void store_relay::report_source(std::string_view reason)
{
    const bool watches = this->source.watches_store();
    if (std::exchange(this->was_watching, watches) == watches) {
        return;
    }
    //! NOTE What the store confirmed before this instance followed another one says nothing now.
    this->confirmed_at.clear();
    boost::json::object facts{{"relay", this->source.relay().str()}};
    if (watches) {
        facts["reason"] = reason;
    }
    log::event(log_part, watches ? "watches_store" : "follows", std::move(facts));
    this->callbacks.on_source_changed(watches);
}
} // namespace buckthornhill::gateway
