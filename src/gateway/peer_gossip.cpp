#include "gateway/peer_gossip.h"

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
constexpr std::string_view heartbeat_path = "/peer/news";
constexpr std::string_view collection_path = "/peer/collection";
constexpr std::string_view in_force_key = "in_force";
constexpr std::chrono::milliseconds heartbeat_timeout{700};   //!< well under one heartbeat round
constexpr std::chrono::milliseconds collection_timeout{2000}; //!< for some hundred kilobytes
//! Time for the store to deliver what a peer already has. The response of the store and the pause after it
//! together take less.
constexpr std::chrono::milliseconds store_head_start{900};
constexpr std::size_t max_peer_connections = 256;
constexpr unsigned status_ok = 200;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

template <typename Message>
std::string decoded_body(const Message& message)
{
    return http::decompressed_body(message.headers, message.body, max_peer_message_bytes);
}

incarnation_id new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation_id(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()));
}

membership::member_description describe_self(const gateway_settings& settings)
{
    membership::member_description self;
    self.id = settings.id;
    self.incarnation = new_incarnation();
    self.region = settings.where.region;
    self.domain = settings.where.domain;
    self.peer_address = settings.advertised_peer_endpoint.str();
    self.caller_address = settings.caller_endpoint.str();
    return self;
}

} // namespace

peer_gossip::peer_gossip(boost::asio::io_context& context, const gateway_settings& initial_settings,
                         const fleet_view& store_view, random_hook random_numbers, hooks hooks_to_call)
    : settings(initial_settings)
    , view(store_view)
    , callbacks(std::move(hooks_to_call))
    , random(std::move(random_numbers))
    , members(describe_self(initial_settings), initial_settings.membership, this->random)
    , client(std::make_unique<http::http_client>(context, peer_limits(initial_settings, heartbeat_timeout)))
    , lag(store_head_start)
{
    http::server_limits limits;
    limits.max_body_bytes = max_peer_message_bytes;
    limits.max_connections = max_peer_connections;
    this->server = std::make_unique<http::http_server>(
        context, initial_settings.peer_endpoint, limits,
        [this](const http::exchange_ptr& exchange) { this->on_request(exchange); });
    std::vector<membership::member_description> seeds;
    for (const auto& address : initial_settings.seed_peers) {
        const bool is_own =
            address == initial_settings.peer_endpoint || address == initial_settings.advertised_peer_endpoint;
        if (!is_own) {
            membership::member_description seed;
            seed.id = instance_id("seed-" + address.str());
            seed.peer_address = address.str();
            seeds.push_back(seed);
        }
    }
    this->members.add_seeds(clock_now(), seeds);
}

peer_gossip::~peer_gossip() = default;

void peer_gossip::on_registered(time_point now, const std::vector<membership::member_description>& registered)
{
    this->members.add_seeds(now, registered);
}

void peer_gossip::on_store_contact(collection which, bool is_in_contact)
{
    if (is_in_contact) {
        this->collections_in_contact.insert(which);
    } else {
        this->collections_in_contact.erase(which);
    }
}

void peer_gossip::become_live(time_point now)
{
    if (this->state() == member_state::joining) {
        this->members.set_state(member_state::live);
        this->send_heartbeats_at_once(now);
        this->callbacks.on_members_changed();
    }
}

void peer_gossip::begin_leave(time_point now)
{
    this->members.set_state(member_state::leaving);
    this->send_heartbeats_at_once(now);
}

void peer_gossip::on_tick(time_point now)
{
    if (this->members.on_tick(now)) {
        log::event(log_part, "members_changed", {{"live", this->live_count()}, {"reason", "silence"}});
        this->callbacks.on_members_changed();
    }
    this->fetch_overdue(now);
    if (now < this->next_heartbeat_round) {
        return;
    }
    this->next_heartbeat_round = now + this->settings.membership.heartbeat_interval;
    for (const auto& peer : this->members.pick_targets()) {
        this->send_heartbeat(now, peer);
    }
}

void peer_gossip::send_heartbeats_at_once(time_point now)
{
    //! NOTE Only this region is informed directly, because its instances name this one to callers. Other
    //! regions learn of the change by gossip, unless instances lend each other tokens of account limits: two
    //! that do not know of each other would both lend.
    const bool informs_all = this->callbacks.informs_all();
    for (const auto& [id, member] : this->members.all()) {
        const bool is_informed =
            informs_all || member.record.description.region == this->settings.where.region;
        if (is_informed && member.record.state != member_state::gone) {
            this->send_heartbeat(now, id);
        }
    }
}

peer_heartbeat peer_gossip::own_heartbeat()
{
    peer_heartbeat heartbeat;
    heartbeat.members = this->members.next_brief_gossip();
    heartbeat.quarantined = this->callbacks.quarantined();
    this->view.describe(heartbeat, this->callbacks.is_confirmed());
    return heartbeat;
}

void peer_gossip::send_heartbeat(time_point now, const instance_id& peer,
                                 std::function<void(witness_search::result)> on_end)
{
    const auto* member = this->members.find(peer);
    if (member == nullptr || member->record.description.peer_address.empty()) {
        return;
    }
    http::http_request request;
    request.method = "POST";
    request.target = heartbeat_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = encode_peer_heartbeat(this->own_heartbeat());
    http::compress_body(request.headers, request.body);
    const auto address = http::parse_endpoint(member->record.description.peer_address);
    this->client->send(address, std::move(request), now + heartbeat_timeout, http::connection_choice::reuse,
                       [this, now, on_end = std::move(on_end)](const http::call_result& result) {
                           const bool is_answered = result.status == http::call_status::complete;
                           if (is_answered && result.response.status == status_ok) {
                               this->on_heartbeat_response(result.response);
                           }
                           if (on_end) {
                               const bool is_silent = clock_now() - now >= heartbeat_timeout;
                               on_end(is_answered ? witness_search::result::answered
                                      : is_silent ? witness_search::result::silent
                                                  : witness_search::result::refused);
                           }
                       });
}

void peer_gossip::on_heartbeat_response(const http::http_response& response)
{
    try {
        this->on_heartbeat(clock_now(), decode_peer_heartbeat(decoded_body(response)));
    } catch (const buckthornhill::error& failure) {
        log::event(log_part, "news_unreadable", {{"reason", failure.what()}});
    }
}

void peer_gossip::on_heartbeat(time_point now, const peer_heartbeat& heartbeat)
{
    if (this->members.merge(now, heartbeat.members)) {
        log::event(log_part, "members_changed", {{"live", this->live_count()}, {"reason", "news"}});
        this->callbacks.on_members_changed();
    }
    this->callbacks.on_store_state(heartbeat);
    this->record_lags(now, heartbeat);
    if (!heartbeat.members.empty() && this->view.lacks_configuration_of(heartbeat)) {
        this->fetch_configuration(heartbeat.members.front().description.peer_address);
    }
    if (!heartbeat.quarantined.empty()) {
        this->callbacks.on_quarantined(heartbeat.quarantined);
    }
}

void peer_gossip::record_lags(time_point now, const peer_heartbeat& heartbeat)
{
    if (heartbeat.members.empty()) {
        return;
    }
    for (const auto& [which, version] : heartbeat.changed_at) {
        const auto& own_mirror = this->view.mirror(which);
        if (!own_mirror.is_known() || version > own_mirror.version()) {
            this->lag.record(now, which, version, heartbeat.members.front().description.peer_address);
        }
    }
    this->fetch_overdue(now);
}

void peer_gossip::fetch_overdue(time_point now)
{
    const auto known = [this](collection which) { return this->view.mirror(which).version(); };
    const auto has_store_contact = [this](collection which) {
        return this->collections_in_contact.contains(which) && this->view.mirror(which).is_known();
    };
    for (const auto& fetch : this->lag.take_due(now, known, has_store_contact)) {
        if (fetch.has_store_contact) {
            this->callbacks.on_peer_ahead(fetch.which);
        }
        this->fetch_collection(fetch.peer_address, fetch.which);
    }
}

void peer_gossip::fetch_collection(const std::string& address, collection which)
{
    if (!this->collections_being_fetched.insert(which).second) {
        return;
    }
    const auto query = "name=" + std::string(store::to_string(which)) +
                       "&since=" + encode_version(this->view.mirror(which).version());
    this->fetch(
        address, query, [this, which] { this->collections_being_fetched.erase(which); },
        this->callbacks.on_collection);
}

void peer_gossip::fetch_configuration(const std::string& address)
{
    if (std::exchange(this->is_fetching_configuration, true)) {
        return;
    }
    const auto query = "name=" + std::string(store::to_string(collection::configuration)) + "&" +
                       std::string(in_force_key) + "=1";
    this->fetch(
        address, query, [this] { this->is_fetching_configuration = false; },
        this->callbacks.on_configuration);
}

void peer_gossip::fetch(const std::string& address, const std::string& query, std::function<void()> on_end,
                        std::function<void(const store::collection_update&)> on_update)
{
    http::http_request request;
    request.target = std::string(collection_path) + "?" + query;
    this->client->send(
        http::parse_endpoint(address), std::move(request), clock_now() + collection_timeout,
        http::connection_choice::reuse,
        [on_end = std::move(on_end), on_update = std::move(on_update)](const http::call_result& result) {
            on_end();
            if (result.status != http::call_status::complete || result.response.status != status_ok) {
                return;
            }
            try {
                on_update(decode_collection(clock_now(), decoded_body(result.response)));
            } catch (const buckthornhill::error& failure) {
                log::event(log_part, "collection_unreadable", {{"reason", failure.what()}});
            }
        });
}

void peer_gossip::on_request(const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    http::http_response refusal;
    try {
        if (http::path_of(request.target) == heartbeat_path) {
            this->on_heartbeat(clock_now(), decode_peer_heartbeat(decoded_body(request)));
            exchange->respond(http::compressed_json_response(encode_peer_heartbeat(this->own_heartbeat())));
            return;
        }
        if (http::path_of(request.target) == collection_path) {
            if (http::query_value(request.target, in_force_key) == "1") {
                exchange->respond(http::compressed_json_response(
                    encode_collection(clock_now(), this->view.configuration_in_force())));
                return;
            }
            const auto which = store::parse_collection(http::query_value(request.target, "name"));
            const auto since = parse_version(http::query_value(request.target, "since"));
            exchange->respond(http::compressed_json_response(
                encode_collection(clock_now(), this->view.mirror(which).changes_since(which, since))));
            return;
        }
        if (this->callbacks.on_unhandled_request(exchange)) {
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

std::vector<instance_id> peer_gossip::candidates()
{
    std::vector<instance_id> running;
    std::vector<instance_id> others;
    for (const auto& [id, member] : this->members.all()) {
        if (!member.record.description.peer_address.empty()) {
            (member.record.state == member_state::live ? running : others).push_back(id);
        }
    }
    for (auto* ids : {&running, &others}) {
        for (std::size_t i = ids->size(); i > 1; --i) {
            std::swap((*ids)[i - 1], (*ids)[this->random() % i]);
        }
    }
    running.insert(running.end(), others.begin(), others.end());
    return running;
}

std::vector<placement::known_instance> peer_gossip::known_instances(time_point now) const
{
    std::vector<placement::known_instance> known{{this->self().id, this->self().region}};
    for (const auto& [id, member] : this->members.all()) {
        //! NOTE An entry for a seed address has no region. The instance at that address has an entry of its
        //! own.
        const bool is_instance = !member.record.description.region.empty();
        if (is_instance) {
            const bool is_gone = member.record.state == member_state::gone;
            known.push_back({id, member.record.description.region, member.has_left,
                             is_gone ? now - member.last_heard_at : duration{}});
        }
    }
    return known;
}

std::vector<instance_id> peer_gossip::live_in_domain() const
{
    std::vector<instance_id> found;
    for (const auto& member : this->members.live_members()) {
        if (member.domain == this->settings.where.domain) {
            found.push_back(member.id);
        }
    }
    return found;
}

std::set<instance_id> peer_gossip::departed() const
{
    std::set<instance_id> found;
    for (const auto& [id, member] : this->members.all()) {
        if (member.has_left || member.record.state == member_state::leaving) {
            found.insert(id);
        }
    }
    return found;
}

std::string peer_gossip::peer_address_of(const instance_id& id) const
{
    const auto* member = this->members.find(id);
    return member == nullptr ? std::string() : member->record.description.peer_address;
}

std::vector<std::string> peer_gossip::addresses_for(const region_id& region, const domain_id& domain) const
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
