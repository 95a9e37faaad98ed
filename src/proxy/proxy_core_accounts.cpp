//! Decisions of the proxy core about client accounts: which requests may run, for whom and in which order.
#include <algorithm>
#include <iterator>
#include <limits>

#include "proxy/proxy_core.h"

namespace buckthornhill::proxy {
std::string_view to_string(reject_reason reason)
{
    switch (reason) {
    case reject_reason::unknown_key:
        return "unknown-key";
    case reject_reason::no_common_region:
        return "no-common-region";
    }
    return "unknown";
}

namespace {
//! Both priorities together decide how long a queue the request may join.
int joint_priority(int account_priority, int route_priority)
{
    using limits = std::numeric_limits<int>;
    const auto sum = std::int64_t{account_priority} + route_priority;
    return static_cast<int>(std::clamp<std::int64_t>(sum, limits::min(), limits::max()));
}

std::set<region_id> intersection(const std::set<region_id>& a, const std::set<region_id>& b)
{
    if (a.empty() || b.empty()) {
        return a.empty() ? b : a;
    }
    std::set<region_id> common;
    std::ranges::set_intersection(a, b, std::inserter(common, common.end()));
    return common;
}
} // namespace

proxy_core::binding proxy_core::bind_account(proxy_flow& flow, const routing::route& route)
{
    flow.account = {};
    flow.account_priority = 0;
    flow.route_priority = route.priority;
    flow.requirements.priority = route.priority;
    const auto& accounts = this->table.accounts();
    if (route.is_public || !accounts.requires_key()) {
        return binding::bound;
    }
    const auto* account = accounts.find(flow.facts.key);
    if (account == nullptr) {
        return binding::unknown_key;
    }
    flow.account = account->id;
    flow.account_priority = account->priority;
    flow.requirements.priority = joint_priority(account->priority, route.priority);
    flow.allowed_regions = intersection(account->allowed_regions, route.allowed_regions);
    const bool is_restricted = !account->allowed_regions.empty() || !route.allowed_regions.empty();
    return is_restricted && flow.allowed_regions.empty() ? binding::no_common_region : binding::bound;
}

bool proxy_core::bind(time_point now, proxy_flow& flow)
{
    switch (this->bind_route(flow)) {
    case binding::bound:
        return true;
    case binding::unknown_key:
        this->check_unknown_key(now, flow);
        return false;
    case binding::no_common_region:
        if (this->is_confirmed_for(flow)) {
            this->reject(now, flow, reject_reason::no_common_region);
        } else {
            this->refuse(now, flow, refusal_reason::unconfirmed_configuration);
        }
        return false;
    case binding::no_route:
        break;
    }
    if (flow.may_have_run) {
        this->fail(flow, now >= flow.deadline);
    } else {
        this->outbox.push_back(no_route_action{flow.facts.flow});
        this->finish(flow.facts.flow);
    }
    return false;
}

bool proxy_core::is_authorized(time_point now, proxy_flow& flow)
{
    if (!this->rebind(now, flow)) {
        return false;
    }
    if (!this->is_confirmed_for(flow)) {
        this->refuse(now, flow, refusal_reason::unconfirmed_configuration);
        return false;
    }
    return true;
}

bool proxy_core::is_confirmed() const
{
    return this->boot_clock && this->confirmations.is_confirmed(this->boot_clock());
}

bool proxy_core::is_confirmed_for(const proxy_flow& flow) const
{
    return flow.account.empty() || !this->confirmations.is_strict() || this->is_confirmed();
}

void proxy_core::check_unknown_key(time_point now, proxy_flow& flow)
{
    if (!this->is_confirmed()) {
        this->refuse(now, flow, refusal_reason::unconfirmed_configuration);
        return;
    }
    if (!flow.key_unknown_since) {
        flow.key_unknown_since = this->unknown_keys.first_use(flow.facts.key, this->boot_clock());
    }
    if (flow.may_have_run || this->confirmations.is_confirmed_since(*flow.key_unknown_since)) {
        this->reject(now, flow, reject_reason::unknown_key);
        return;
    }
    flow.step = flow_step::awaiting_confirmation;
    flow.hold_deadline =
        std::min<time_point>(flow.arrived_at + this->configuration.max_confirmation_wait, flow.deadline);
    this->held.insert(flow.facts.flow);
    const auto held_for_keys = static_cast<std::size_t>(std::ranges::count_if(this->held, [this](flow_id id) {
        return this->flows.at(id).step == flow_step::awaiting_confirmation;
    }));
    if (now >= flow.hold_deadline || held_for_keys > this->configuration.max_unknown_keys_held) {
        this->refuse(now, flow, refusal_reason::unconfirmed_configuration);
    }
}

void proxy_core::check_key_again(time_point now, flow_id id)
{
    auto& flow = this->flows.at(id);
    if (flow.route_version == this->table.version()) {
        this->check_unknown_key(now, flow);
        return;
    }
    this->held.erase(id);
    flow.step = flow_step::waiting;
    this->dispatch(now, flow);
}

void proxy_core::reject(time_point now, const proxy_flow& flow, reject_reason reason)
{
    if (flow.may_have_run) {
        this->fail(flow, now >= flow.deadline);
        return;
    }
    this->outbox.push_back(reject_action{flow.facts.flow, reason});
    this->finish(flow.facts.flow);
}

std::optional<account_id> proxy_core::account_for_upstream(const proxy_flow& flow) const
{
    return this->table.accounts().requires_key() ? std::optional(flow.account) : std::nullopt;
}
} // namespace buckthornhill::proxy
