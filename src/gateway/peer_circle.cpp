#include "gateway/peer_circle.h"

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_translation.h"
#include "global/error.h"
#include "global/log.h"
#include "http/body_coding.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
using membership::member_state;
using store::collection;

namespace {
constexpr std::string_view log_part = "peers";
constexpr std::string_view news_path = "/peer/news";
constexpr std::string_view collection_path = "/peer/collection";
constexpr std::chrono::milliseconds news_timeout{700};        //!< well under one round
constexpr std::chrono::milliseconds collection_timeout{2000}; //!< a list of some hundred kilobytes
//! Time for the store to bring what a peer has already; its answer and the pause after it take less.
constexpr std::chrono::milliseconds store_head_start{900};
constexpr std::size_t max_peer_connections = 256;
constexpr unsigned status_ok = 200;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

template <typename Message>
std::string plain_body(const Message& message)
{
    return http::decompressed_body(message.headers, message.body, max_peer_message_bytes);
}

incarnation_id new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation_id(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()));
}

membership::member_description describe(const gateway_settings& settings)
{
    membership::member_description self;
    self.id = settings.id;
    self.incarnation = new_incarnation();
    self.region = settings.where.region;
    self.domain = settings.where.domain;
    self.peer_address = settings.peers.str();
    self.caller_address = settings.callers.str();
    return self;
}

} // namespace

peer_circle::peer_circle(boost::asio::io_context& context, const gateway_settings& wanted,
                         const fleet_view& known, random_hook random, hooks reactions)
    : settings(wanted)
    , view(known)
    , callbacks(std::move(reactions))
    , members(describe(wanted), wanted.membership, std::move(random))
    , client(std::make_unique<http::http_client>(context, peer_limits(wanted, news_timeout)))
    , lag(store_head_start)
{
    http::server_limits limits;
    limits.max_body_bytes = max_peer_message_bytes;
    limits.max_connections = max_peer_connections;
    this->listener = std::make_unique<http::http_server>(
        context, wanted.peers, limits,
        [this](const http::exchange_ptr& exchange) { this->on_request(exchange); });
    std::vector<membership::member_description> seeds;
    for (const auto& address : wanted.seed_peers) {
        if (address != wanted.peers) {
            membership::member_description seed;
            seed.id = instance_id("seed-" + address.str());
            seed.peer_address = address.str();
            seeds.push_back(seed);
        }
    }
    this->members.on_seed(clock_now(), seeds);
}

peer_circle::~peer_circle() = default;

void peer_circle::on_registered(time_point now, const std::vector<membership::member_description>& registered)
{
    this->members.on_seed(now, registered);
}

void peer_circle::on_store_contact(collection which, bool is_in_contact)
{
    if (is_in_contact) {
        this->in_contact.insert(which);
    } else {
        this->in_contact.erase(which);
    }
}

void peer_circle::become_live(time_point now)
{
    if (this->state() == member_state::joining) {
        this->members.set_state(member_state::live);
        this->tell_all(now);
        this->callbacks.on_members_changed();
    }
}

void peer_circle::begin_leave(time_point now)
{
    this->members.set_state(member_state::leaving);
    this->tell_all(now);
}

void peer_circle::on_tick(time_point now)
{
    if (this->members.on_tick(now)) {
        log::event(log_part, "members_changed", {{"live", this->live_count()}, {"reason", "silence"}});
        this->callbacks.on_members_changed();
    }
    this->catch_up(now);
    if (now < this->next_round) {
        return;
    }
    this->next_round = now + this->settings.membership.heartbeat_interval;
    for (const auto& peer : this->members.pick_targets()) {
        this->tell(now, peer);
    }
}

void peer_circle::tell_all(time_point now)
{
    //! NOTE Only the own region is told at once: it names this instance to callers. Others hear by gossip.
    for (const auto& [id, member] : this->members.all()) {
        if (member.record.description.region == this->settings.where.region &&
            member.record.state != member_state::gone) {
            this->tell(now, id);
        }
    }
}

peer_news peer_circle::own_news()
{
    return {this->members.next_brief_gossip(), this->view.changed_at()};
}

void peer_circle::tell(time_point now, const instance_id& peer)
{
    const auto* member = this->members.find(peer);
    if (member == nullptr || member->record.description.peer_address.empty()) {
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.target = news_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = encode_news(this->own_news());
    http::compress_body(request.headers, request.body);
    const auto address = http::parse_endpoint(member->record.description.peer_address);
    this->client->send(address, std::move(request), now + news_timeout, http::connection_choice::reuse,
                       [this](const http::call_result& result) {
                           if (result.status != http::call_status::complete ||
                               result.response.status != status_ok) {
                               return;
                           }
                           try {
                               this->on_news(clock_now(), decode_news(plain_body(result.response)));
                           } catch (const buckthornhill::error& failure) {
                               log::event(log_part, "news_unreadable", {{"reason", failure.what()}});
                           }
                       });
}

void peer_circle::on_news(time_point now, const peer_news& news)
{
    if (this->members.merge(now, news.members)) {
        log::event(log_part, "members_changed", {{"live", this->live_count()}, {"reason", "news"}});
        this->callbacks.on_members_changed();
    }
    this->compare(now, news);
}

void peer_circle::compare(time_point now, const peer_news& news)
{
    if (news.members.empty()) {
        return;
    }
    for (const auto& [which, version] : news.changed_at) {
        const auto& mine = this->view.mirror(which);
        if (!mine.is_known() || version > mine.at()) {
            this->lag.note(now, which, version, news.members.front().description.peer_address);
        }
    }
    this->catch_up(now);
}

void peer_circle::catch_up(time_point now)
{
    const auto known = [this](collection which) { return this->view.mirror(which).at(); };
    const auto has_store = [this](collection which) {
        return this->in_contact.contains(which) && this->view.mirror(which).is_known();
    };
    for (const auto& fetch : this->lag.due(now, known, has_store)) {
        if (fetch.has_store) {
            this->callbacks.on_behind(fetch.which);
        }
        this->fetch(fetch.peer_address, fetch.which);
    }
}

void peer_circle::fetch(const std::string& address, collection which)
{
    if (!this->fetching.insert(which).second) {
        return;
    }
    http::http_request request;
    request.target = std::string(collection_path) + "?name=" + std::string(store::to_string(which)) +
                     "&since=" + std::to_string(this->view.mirror(which).at().value());
    this->client->send(http::parse_endpoint(address), std::move(request), clock_now() + collection_timeout,
                       http::connection_choice::reuse, [this, which](const http::call_result& result) {
                           this->fetching.erase(which);
                           if (result.status != http::call_status::complete ||
                               result.response.status != status_ok) {
                               return;
                           }
                           try {
                               this->callbacks.on_collection(decode_collection(plain_body(result.response)));
                           } catch (const buckthornhill::error& failure) {
                               log::event(log_part, "collection_unreadable", {{"reason", failure.what()}});
                           }
                       });
}

void peer_circle::on_request(const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    http::http_response refusal;
    try {
        if (http::path_of(request.target) == news_path) {
            this->on_news(clock_now(), decode_news(plain_body(request)));
            exchange->respond(http::compressed_json_response(encode_news(this->own_news())));
            return;
        }
        if (http::path_of(request.target) == collection_path) {
            const auto which = store::parse_collection(http::query_value(request.target, "name"));
            const auto since = parse_version(http::query_value(request.target, "since"));
            exchange->respond(http::compressed_json_response(
                encode_collection(this->view.mirror(which).changes_since(which, since))));
            return;
        }
        if (this->callbacks.on_other_call(exchange)) {
            return;
        }
        refusal.status = 404;
    } catch (const buckthornhill::error& failure) {
        log::event(log_part, "message_refused", {{"reason", failure.what()}});
        refusal.status = 400;
        refusal.body = failure.what();
    }
    exchange->respond(std::move(refusal));
}

std::vector<instance_id> peer_circle::known_instances() const
{
    std::vector<instance_id> known{this->self().id};
    for (const auto& [id, member] : this->members.all()) {
        //! NOTE An entry that stands for a seed address has no region; the instance there has one of its own.
        const bool is_instance = !member.record.description.region.empty();
        if (is_instance && member.record.state != member_state::gone) {
            known.push_back(id);
        }
    }
    return known;
}

std::vector<instance_id> peer_circle::live_in_domain() const
{
    std::vector<instance_id> found;
    for (const auto& member : this->members.live_members()) {
        if (member.domain == this->settings.where.domain) {
            found.push_back(member.id);
        }
    }
    return found;
}

std::string peer_circle::peer_address_of(const instance_id& id) const
{
    const auto* member = this->members.find(id);
    return member == nullptr ? std::string() : member->record.description.peer_address;
}

std::vector<std::string> peer_circle::addresses_for(const region_id& region, const domain_id& domain) const
{
    std::vector<std::string> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> in_own_region;
    for (const auto& member : this->members.live_members()) {
        if (member.domain == domain) {
            in_domain.push_back(member.caller_address);
        }
        if (member.region == region) {
            in_region.push_back(member.caller_address);
        }
        if (member.region == this->settings.where.region) {
            in_own_region.push_back(member.caller_address);
        }
    }
    if (!in_domain.empty()) {
        return in_domain;
    }
    return in_region.empty() ? in_own_region : in_region;
}
} // namespace buckthornhill::gateway
