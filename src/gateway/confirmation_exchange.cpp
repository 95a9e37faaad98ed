#include "gateway/confirmation_exchange.h"

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_translation.h"
#include "gateway/peer_message_codec.h"
#include "global/error.h"
#include "global/log.h"
#include "global/pause_detector.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::string_view log_part = "confirmations";
constexpr std::string_view confirmation_path = "/peer/confirmation";
constexpr std::chrono::milliseconds answer_timeout{700}; //!< as for heartbeats
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
} // namespace

confirmation_exchange::confirmation_exchange(boost::asio::io_context& context,
                                             const gateway_settings& settings,
                                             accounts::configuration_freshness& known, random_hook random,
                                             hooks hooks_to_call)
    : freshness(known)
    , callbacks(std::move(hooks_to_call))
    , source(std::move(random))
    , client(std::make_unique<http::http_client>(context, peer_limits(settings, answer_timeout)))
{
}

confirmation_exchange::~confirmation_exchange() = default;

void confirmation_exchange::on_tick(time_point now, bool has_accounts)
{
    const bool is_needed = has_accounts && this->freshness.needs_confirmation(time_since_boot());
    if (!is_needed) {
        return;
    }
    const auto peer = this->source.next_to_ask(now, is_needed, this->callbacks.live_peers());
    if (!peer) {
        return;
    }
    const auto address = this->callbacks.peer_address_of(*peer);
    if (!address.empty()) {
        this->ask(now, address);
    }
}

void confirmation_exchange::ask(time_point now, const std::string& address)
{
    http::http_request request;
    request.target = confirmation_path;
    this->client->send(http::parse_endpoint(address), std::move(request), now + answer_timeout,
                       http::connection_choice::reuse,
                       [this, address, asked_at = time_since_boot()](const http::call_result& result) {
                           this->on_result(address, asked_at, result);
                       });
}

void confirmation_exchange::on_result(const std::string& address, std::chrono::nanoseconds asked_at,
                                      const http::call_result& result)
{
    if (result.status != http::call_status::complete || result.response.status != status_ok) {
        return;
    }
    try {
        const auto answer = decode_confirmation(result.response.body);
        if (this->callbacks.is_confirmed_by(answer)) {
            this->freshness.confirm_by_instance(asked_at, answer.age);
        } else if (!confirmation_source::is_valid(answer, this->callbacks.version())) {
            this->callbacks.on_peer_ahead(address);
        }
    } catch (const buckthornhill::error& failure) {
        log::event(log_part, "answer_unreadable", {{"reason", failure.what()}});
    }
}

bool confirmation_exchange::is_confirmation_call(std::string_view target)
{
    return http::path_of(target) == confirmation_path;
}

void confirmation_exchange::on_call(const http::exchange_ptr& exchange) const
{
    const auto confirmation = this->callbacks.own_confirmation();
    if (!confirmation) {
        exchange->respond(http::text_response(status_unavailable, "not confirmed yet"));
        return;
    }
    exchange->respond(http::json_response(encode_confirmation(*confirmation)));
}
} // namespace buckthornhill::gateway
