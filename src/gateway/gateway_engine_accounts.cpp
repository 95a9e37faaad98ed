//! The gateway's part in client accounts: confirmations of the configuration, and responses to rejected
//! requests.
#include <algorithm>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"
#include "global/log.h"
#include "http/http_responses.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::string_view log_part = "accounts";
constexpr std::string_view witness_log_part = "witnesses";
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_forbidden = 403;

std::int64_t whole_milliseconds(std::chrono::nanoseconds age)
{
    return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}
} // namespace

std::unique_ptr<confirmation_exchange> gateway_engine::make_confirmations(boost::asio::io_context& context,
                                                                          const random_hook& random)
{
    confirmation_exchange::hooks hooks;
    hooks.live_peers = [this] {
        std::vector<instance_id> ids;
        for (const auto& member : this->peers->live_members()) {
            if (member.id != this->self().id) {
                ids.push_back(member.id);
            }
        }
        return ids;
    };
    hooks.peer_address_of = [this](const instance_id& id) { return this->peers->peer_address_of(id); };
    hooks.own_confirmation = [this] { return this->view.own_confirmation(time_since_boot()); };
    hooks.is_confirmed_by = [this](const peer_confirmation& answer) {
        return this->view.is_confirmed_by(answer);
    };
    hooks.version = [this] { return this->core.routes().version(); };
    hooks.on_peer_ahead = [this](const std::string& address) {
        this->peers->fetch_collection(address, store::collection::configuration);
    };
    return std::make_unique<confirmation_exchange>(context, this->settings, this->core.freshness(), random,
                                                   std::move(hooks));
}

bool gateway_engine::is_confirmed() const
{
    return this->core.freshness().is_confirmed(time_since_boot());
}

void gateway_engine::begin_witness_search(time_point now)
{
    const auto era = this->view.mirror(store::collection::configuration).era();
    if (!this->view.floor().is_open() || this->searched_era == era) {
        return;
    }
    this->searched_era = era;
    this->has_refreshed_instances = false;
    this->witnesses.begin(now, this->view.floor().quality());
    log::event(witness_log_part, "witnesses_sought",
               {{"era", era.value()}, {"own_quality", to_string(this->view.floor().quality())}});
}

void gateway_engine::search_witnesses(time_point now)
{
    if (this->witnesses.is_asking()) {
        for (const auto& id : this->witnesses.take_targets(now, this->peers->candidates())) {
            this->peers->send_heartbeat(now, id, [this, id](witness_search::result result) {
                this->witnesses.on_result(id, result);
                this->conclude_witness_search(std::chrono::steady_clock::now());
            });
        }
        //! NOTE The copy may lack all instances that run. They have registered again meanwhile.
        const bool is_late = 2 * this->witnesses.elapsed(now) >= this->settings.watcher.recovery_bound;
        if (is_late && !std::exchange(this->has_refreshed_instances, true)) {
            this->callbacks.on_refresh_needed(store::collection::instances);
        }
    }
    this->conclude_witness_search(now);
}

void gateway_engine::conclude_witness_search(time_point now)
{
    const auto verdict = this->witnesses.decide(now);
    if (verdict == witness_search::verdict::pending) {
        return;
    }
    const bool is_settled = verdict == witness_search::verdict::settled;
    if (is_settled) {
        this->view.on_witnesses_heard();
    } else {
        this->view.on_no_witness_left();
    }
    log::event(witness_log_part, is_settled ? "witnesses_heard" : "no_witness_left",
               {{"asked", this->witnesses.asked_count()},
                {"ms", to_milliseconds(this->witnesses.elapsed(now))},
                {"newest_before_era", this->view.floor().version().value()},
                {"store_has_it", this->view.has_store_caught_up()}});
    this->on_store_confirmation(this->latest_configuration_answer);
}

void gateway_engine::on_store_confirmation(const store::collection_update& update)
{
    if (update.asked_at != std::chrono::nanoseconds{}) {
        this->latest_configuration_answer.era = update.era;
        this->latest_configuration_answer.asked_at = update.asked_at;
    }
    if (this->view.is_confirmed_by(update)) {
        this->core.freshness().confirm(update.asked_at);
    }
}

void gateway_engine::on_relay_confirmation(std::chrono::nanoseconds asked_at,
                                           const peer_confirmation& confirmation)
{
    if (this->view.is_confirmed_by(confirmation)) {
        //! NOTE A relay that counts wrongly must not move a confirmation to the future.
        const auto age = std::max(confirmation.age, asked_at - time_since_boot());
        this->core.freshness().confirm_by_instance(asked_at, age);
    }
}

void gateway_engine::check_confirmation(time_point now)
{
    const bool has_accounts = this->core.routes().accounts().requires_key();
    this->confirmations->on_tick(now, has_accounts);
    if (!has_accounts) {
        this->was_confirmed.reset();
        return;
    }
    const auto since_boot = time_since_boot();
    const bool is_confirmed = this->core.freshness().is_confirmed(since_boot);
    if (this->was_confirmed == is_confirmed) {
        return;
    }
    this->was_confirmed = is_confirmed;
    const auto age = this->core.freshness().age(since_boot);
    log::event(log_part, is_confirmed ? "configuration_confirmed" : "configuration_unconfirmed",
               {{"age_ms", age ? whole_milliseconds(*age) : -1},
                {"version", this->core.routes().version().value()},
                {"refuses_requests", this->core.freshness().is_strict() && !is_confirmed}});
}

void gateway_engine::update_confirmation_gauge()
{
    if (const auto age = this->core.freshness().age(time_since_boot())) {
        this->metrics.set_gauge("configuration_confirmation_age_ms",
                                static_cast<double>(whole_milliseconds(*age)));
    }
}

void gateway_engine::run(const proxy::reject_action& action)
{
    const std::string reason(proxy::to_string(action.reason));
    this->metrics.on_refused(reason);
    const bool is_unknown = action.reason == proxy::reject_reason::unknown_key;
    this->respond(action.flow,
                  is_unknown ? http::text_response(status_unauthorized, "the API key is missing or unknown")
                             : http::text_response(status_forbidden, "no region is allowed for this account"),
                  "rejected", reason);
}
} // namespace buckthornhill::gateway
