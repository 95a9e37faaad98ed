#include "gateway/limit_exchange.h"

#include <map>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_translation.h"
#include "gateway/limit_message_codec.h"
#include "global/error.h"
#include "global/log.h"
#include "http/body_coding.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
namespace {
//! Sets a flag for as long as it lives, also when an exception ends it.
class flag_scope
{
public:
    explicit flag_scope(bool& flag)
        : flag(flag)
    {
        this->flag = true;
    }
    ~flag_scope() { this->flag = false; }
    flag_scope(const flag_scope&) = delete;
    flag_scope& operator=(const flag_scope&) = delete;

private:
    bool& flag;
};

constexpr std::string_view log_part = "limits";
constexpr std::string_view limits_path = "/peer/limits";
constexpr unsigned status_ok = 200;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

limit_exchange::limit_exchange(boost::asio::io_context& context, const gateway_settings& settings,
                               incarnation_id run, gateway_metrics& gateway_counters, decision_hook hook)
    : self(settings.id)
    , metrics(gateway_counters)
    , on_decision(std::move(hook))
    , granter(settings.id, settings.limits, rate_limits::granter_configuration{})
    , borrower({settings.id, run}, this->borrowing)
    , silent(context, settings.id, settings.where.domain, settings.upstream_connect_timeout,
             [this] { this->update_granter(clock_now()); })
    , client(
          std::make_unique<http::http_client>(context, peer_limits(settings, this->borrowing.answer_timeout)))
{
}

limit_exchange::~limit_exchange() = default;

bool limit_exchange::is_limit_call(std::string_view target)
{
    return http::path_of(target) == limits_path;
}

void limit_exchange::set_accounts(time_point now, const std::vector<accounts::client_account>& accounts)
{
    std::map<account_id, accounts::account_limit> limits;
    for (const auto& account : accounts) {
        if (account.limit.requests_per_second > 0) {
            limits.emplace(account.id, account.limit);
        }
    }
    this->limited_accounts = limits.size();
    this->granter.set_limits(now, limits);
}

void limit_exchange::set_members(time_point now, const std::vector<membership::member_description>& members,
                                 std::size_t known, const std::set<instance_id>& departed)
{
    this->live.clear();
    this->live.reserve(members.size());
    this->peers.clear();
    for (const auto& member : members) {
        this->live.push_back(member.id);
        if (!member.peer_address.empty()) {
            this->peers.emplace(member.id, http::parse_endpoint(member.peer_address));
        }
    }
    this->lately_known = known;
    this->silent.update(now, members, departed, this->has_limits());
    this->update_granter(now);
    this->borrower.set_live(now, this->live);
    this->pump(now);
}

void limit_exchange::update_granter(time_point now)
{
    //! NOTE Where all that are missing have ended, no other part of the fleet lends.
    const bool are_all_known = this->live.size() + this->silent.ended_count() >= this->lately_known;
    this->granter.set_members(now, this->live, are_all_known ? this->live.size() : this->lately_known,
                              this->silent.silent(now));
}

void limit_exchange::acquire(time_point now, const account_id& account, flow_id flow)
{
    const auto outcome = this->borrower.acquire(now, account, flow);
    if (!std::holds_alternative<rate_limits::token_pending>(outcome)) {
        this->report({flow, account, outcome});
        return;
    }
    this->pump(now);
}

void limit_exchange::cancel(const account_id& account, flow_id flow)
{
    this->borrower.cancel(account, flow);
}

void limit_exchange::give_back(time_point now, const account_id& account,
                               const rate_limits::held_token& token)
{
    this->metrics.on_limit_tokens("unused", 1);
    this->borrower.give_back(now, account, token);
    this->pump(now);
}

void limit_exchange::on_tick(time_point now)
{
    this->granter.on_tick(now);
    this->borrower.on_tick(now);
    this->pump(now);
}

void limit_exchange::on_pause(time_point now, duration paused)
{
    this->granter.on_pause(now, paused);
    this->borrower.on_pause(now);
    this->pump(now);
}

void limit_exchange::report(const rate_limits::token_decision& decision)
{
    if (std::holds_alternative<rate_limits::token_granted>(decision.outcome)) {
        this->metrics.on_limit_tokens("granted", 1);
    }
    this->on_decision(decision);
}

void limit_exchange::pump(time_point now)
{
    //! NOTE A decision can lead to the next one: a token that is not needed goes to a request that waits. The
    //! outermost call reports them all, since one call inside the other for each of them could be many.
    if (this->is_pumping) {
        return;
    }
    const flag_scope pumping(this->is_pumping);
    while (true) {
        const auto decisions = this->borrower.take_decisions();
        const auto asks = this->borrower.take_asks(now);
        if (decisions.empty() && asks.empty()) {
            break;
        }
        for (const auto& ask : asks) {
            if (ask.granter == this->self) {
                this->borrower.on_answer(now, ask.message.number, this->granter.on_asks(now, ask.message));
            } else {
                this->send(ask);
            }
        }
        for (const auto& decision : decisions) {
            this->report(decision);
        }
    }
    this->log_changes();
}

void limit_exchange::send(const rate_limits::outgoing_ask& ask)
{
    http::http_request request;
    request.method = "POST";
    request.target = limits_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = encode_ask_message(ask.message);
    http::compress_body(request.headers, request.body);
    this->client->send(
        this->peers[ask.granter], std::move(request), clock_now() + this->borrowing.answer_timeout,
        http::connection_choice::reuse, [this, number = ask.message.number](const http::call_result& result) {
            const auto now = clock_now();
            try {
                const bool is_answer =
                    result.status == http::call_status::complete && result.response.status == status_ok;
                if (is_answer) {
                    this->borrower.on_answer(
                        now, number,
                        decode_grants(http::decompressed_body(result.response.headers, result.response.body,
                                                              max_peer_message_bytes)));
                } else {
                    this->borrower.on_failed(now, number);
                }
            } catch (const buckthornhill::error& failure) {
                log::event(log_part, "answer_unreadable", {{"reason", failure.what()}});
                this->borrower.on_failed(now, number);
            }
            this->pump(now);
        });
}

void limit_exchange::on_call(time_point now, const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    const auto message =
        decode_ask_message(http::decompressed_body(request.headers, request.body, max_peer_message_bytes));
    exchange->respond(http::compressed_json_response(encode_grants(this->granter.on_asks(now, message))));
}

void limit_exchange::log_changes()
{
    for (const auto& change : this->borrower.take_changes()) {
        log::event(log_part, change.is_limited ? "account_limited" : "account_unlimited",
                   {{"account", change.account.str()}});
    }
}

void limit_exchange::update_gauges(time_point now)
{
    const auto& totals = this->granter.totals();
    this->metrics.on_limit_tokens("lent", totals.lent - this->reported.lent);
    this->metrics.on_limit_tokens("returned", totals.returned - this->reported.returned);
    this->reported = totals;
    this->metrics.set_gauge("accounts_lent_for", static_cast<double>(this->granter.lending_count(now)));
    this->metrics.set_gauge("accounts_limited", static_cast<double>(this->borrower.limited_count()));
    this->metrics.set_gauge("limit_share", this->granter.share());
}
} // namespace buckthornhill::gateway
