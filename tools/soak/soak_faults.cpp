#include <algorithm>
#include <array>
#include <csignal>

#include "soak_run.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds restart_pause{400};        //!< between the end of a process and its restart
constexpr milliseconds process_poll_interval{50}; //!< between checks whether processes have ended
constexpr milliseconds drain_duration{3500};      //!< for which a leaving upstream continues to serve
constexpr milliseconds limit_duration{9000};      //!< for which an upstream names a limit
} // namespace

void soak_run::inject_next_fault()
{
    if (this->is_injection_over) {
        return;
    }
    switch (this->draw(6)) {
    case 0:
        this->inject_process_fault();
        break;
    case 1:
        this->inject_store_path_fault();
        break;
    case 2:
        this->inject_store_fault();
        break;
    case 3:
        this->start_crashing_request();
        break;
    default:
        this->inject_upstream_fault();
        break;
    }
    //! One pause in four is long enough to check the guarantees that apply only in fault-free times.
    const bool is_long_pause = this->draw(4) == 0;
    this->run_after(is_long_pause ? milliseconds(5500) : this->draw_duration(150, 900),
                    [this] { this->inject_next_fault(); });
}

void soak_run::inject_process_fault()
{
    if (this->draw(8) == 0) {
        this->kill_all_gateways();
        return;
    }
    auto& gateway = *this->gateways[this->draw(this->gateways.size())];
    if (!gateway.is_running()) {
        return;
    }
    if (this->draw(2) == 0) {
        ++this->event_counts["kill"];
        this->kill_gateway(gateway);
        return;
    }
    ++this->event_counts["pause"];
    const auto duration = this->draw_duration(200, 2500);
    this->record_gateway_fault(duration, gateway);
    gateway.signal(SIGSTOP);
    this->run_after(duration, [&gateway] { gateway.signal(SIGCONT); });
}

void soak_run::kill_gateway(gateway_process& gateway)
{
    this->down_since.emplace(gateway.name(), std::chrono::steady_clock::now());
    gateway.kill();
    this->run_after(restart_pause, [this, &gateway] { this->restart_gateway(gateway); });
}

void soak_run::kill_all_gateways()
{
    ++this->event_counts["kill-all"];
    for (const auto& gateway : this->gateways) {
        if (gateway->is_running()) {
            this->kill_gateway(*gateway);
        }
    }
}

void soak_run::inject_store_path_fault()
{
    ++this->event_counts["store-path"];
    static constexpr std::array modes{proxy_mode::delay, proxy_mode::blackhole, proxy_mode::block_responses,
                                      proxy_mode::lose_responses, proxy_mode::reset};
    const auto chosen = this->draw(this->store_proxies.size());
    auto& proxy = *this->store_proxies[chosen];
    const auto duration = this->draw_duration(300, 3000);
    this->record_gateway_fault(duration, *this->gateways[chosen]);
    proxy.set_mode(modes[this->draw(modes.size())]);
    this->run_after(duration, [&proxy] { proxy.set_mode(proxy_mode::pass); });
}

void soak_run::inject_store_fault()
{
    ++this->event_counts["store"];
    const auto duration = this->draw_duration(300, 2500);
    store_faults faults;
    switch (this->draw(5)) {
    case 0:
        faults.is_unresponsive = true;
        break;
    case 1:
        faults.is_unavailable = true;
        break;
    case 2:
        faults.delay = milliseconds(200);
        break;
    case 3:
        faults.lost_per_ten_writes = 5;
        break;
    default:
        this->store.forget_history();
        break;
    }
    this->record_store_fault(duration);
    this->store.set_faults(faults);
    this->run_after(duration, [this] { this->store.set_faults({}); });
}

soak_run::proxied_upstream* soak_run::find_upstream(const std::string& id)
{
    const auto found = std::ranges::find_if(
        this->upstreams, [&id](const auto& proxied) { return proxied.upstream->id() == id; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

void soak_run::inject_upstream_fault()
{
    auto chosen =
        std::next(this->upstreams.begin(), static_cast<std::ptrdiff_t>(this->draw(this->upstreams.size())));
    const auto id = chosen->upstream->id();
    if (this->draw(3) == 0 && !chosen->is_leaving) {
        ++this->event_counts["crash"];
        if (this->draw(2) == 0) {
            this->end_many_upstreams(chosen->upstream->service());
        } else {
            this->end_upstream(id);
        }
        return;
    }
    if (this->draw(4) == 0) {
        ++this->event_counts["turn-away"];
        chosen->upstream->turn_away(this->draw_duration(800, 4000));
        return;
    }
    ++this->event_counts["upstream-path"];
    static constexpr std::array modes{proxy_mode::delay,           proxy_mode::blackhole,
                                      proxy_mode::block_responses, proxy_mode::lose_responses,
                                      proxy_mode::add_refusals,    proxy_mode::repeat_responses,
                                      proxy_mode::cut_heads,       proxy_mode::reset};
    const auto duration = this->draw_duration(200, 2000);
    const auto start = std::chrono::steady_clock::now();
    this->checker.on_upstream_fault(start, start + duration, id);
    const auto mode = modes[this->draw(modes.size())];
    chosen->proxy->set_mode(mode);
    const bool loses_responses =
        mode != proxy_mode::delay && mode != proxy_mode::add_refusals && mode != proxy_mode::repeat_responses;
    this->attempts.on_upstream_lost(id);
    if (loses_responses) {
        this->arrivals.on_responses_lost(start, start + duration, id);
    }
    this->run_after(duration, [this, id] {
        if (auto* proxied = this->find_upstream(id)) {
            proxied->proxy->set_mode(proxy_mode::pass);
        }
    });
}

void soak_run::start_planned_operation()
{
    if (this->is_load_over) {
        return;
    }
    switch (this->draw(5)) {
    case 0:
        ++this->event_counts["configuration"];
        this->change_configuration();
        break;
    case 1:
        ++this->event_counts["drain"];
        this->drain_random_upstream();
        break;
    case 2:
        this->name_limit();
        break;
    case 3:
        ++this->event_counts["reload"];
        for (const auto& gateway : this->gateways) {
            gateway->rewrite_settings();
            gateway->signal(SIGHUP);
        }
        break;
    default:
        this->stop_random_gateway();
        break;
    }
    this->run_after(this->draw_duration(300, 2500), [this] { this->start_planned_operation(); });
}

void soak_run::name_limit()
{
    auto& proxied =
        *std::next(this->upstreams.begin(), static_cast<std::ptrdiff_t>(this->draw(this->upstreams.size())));
    const double limit = static_cast<double>(20 + this->draw(200)) / 10;
    const bool is_service_limited = std::ranges::any_of(this->upstreams, [&](const proxied_upstream& other) {
        return other.limited_since && other.upstream->service() == proxied.upstream->service();
    });
    if (proxied.is_leaving || is_service_limited || this->is_injection_over) {
        return;
    }
    ++this->event_counts["limit"];
    proxied.limited_since = std::chrono::steady_clock::now();
    proxied.limit = limit;
    proxied.upstream->set_limit(limit);
    this->run_after(limit_duration, [this, id = proxied.upstream->id()] {
        if (auto* limited = this->find_upstream(id)) {
            this->end_limit(*limited);
        }
    });
}

void soak_run::end_limit(proxied_upstream& proxied)
{
    if (!proxied.limited_since) {
        return;
    }
    proxied.upstream->set_limit(std::nullopt);
    this->arrivals.on_limit(*proxied.limited_since, std::chrono::steady_clock::now(), proxied.upstream->id(),
                            proxied.limit);
    proxied.limited_since.reset();
}

bool soak_run::can_spare_upstream(const std::string& service) const
{
    return std::ranges::none_of(this->upstreams, [&service](const proxied_upstream& proxied) {
        const bool is_cold = proxied.upstream->cold_left().count() > 0;
        return proxied.upstream->service() == service && (proxied.is_leaving || is_cold);
    });
}

//! Drains an upstream of a service whose other upstreams can take its load.
void soak_run::drain_random_upstream()
{
    auto chosen =
        std::next(this->upstreams.begin(), static_cast<std::ptrdiff_t>(this->draw(this->upstreams.size())));
    for (std::size_t tries = 0;
         tries < this->upstreams.size() && !this->can_spare_upstream(chosen->upstream->service()); ++tries) {
        chosen = std::next(chosen) == this->upstreams.end() ? this->upstreams.begin() : std::next(chosen);
    }
    auto& proxied = *chosen;
    if (!this->can_spare_upstream(proxied.upstream->service())) {
        return;
    }
    proxied.is_leaving = true;
    const auto id = proxied.upstream->id();
    this->add_upstream(proxied.upstream->service());
    proxied.upstream->announce_leaving();
    const bool tells_store = this->draw(2) == 0;
    if (tells_store) {
        put_upstream(this->store, *proxied.upstream, proxied.proxy->address(), true);
        this->checker.on_leaving(std::chrono::steady_clock::now(), id);
    }
    this->run_after(drain_duration, [this, id] { this->remove_upstream(id); });
}

void soak_run::stop_random_gateway()
{
    auto& gateway = *this->gateways[this->draw(this->gateways.size())];
    if (!gateway.is_running() || gateway.is_stopping()) {
        return;
    }
    ++this->event_counts["stop"];
    this->checker.on_planned_stop(std::chrono::steady_clock::now(), gateway.name());
    this->down_since.emplace(gateway.name(), std::chrono::steady_clock::now());
    gateway.request_stop();
}

void soak_run::watch_processes()
{
    for (const auto& gateway : this->gateways) {
        const bool was_running = gateway->is_running();
        const bool was_stopping = gateway->is_stopping();
        std::optional<int> exit_code;
        if (!was_running || !gateway->has_ended(exit_code)) {
            continue;
        }
        if (!was_stopping || exit_code.value_or(0) != 0) {
            this->checker.add_violation(gateway->name() + " ended with exit code " +
                                        std::to_string(exit_code.value_or(0)));
        }
        this->run_after(restart_pause, [this, ended = gateway.get()] { this->restart_gateway(*ended); });
    }
    this->run_after(process_poll_interval, [this] { this->watch_processes(); });
}

void soak_run::end_fault_injection()
{
    this->is_injection_over = true;
    this->store.set_faults({});
    for (const auto& proxy : this->store_proxies) {
        proxy->set_mode(proxy_mode::pass);
    }
    for (auto& proxied : this->upstreams) {
        proxied.proxy->set_mode(proxy_mode::pass);
        this->end_limit(proxied);
    }
}
} // namespace buckthornhill::soak
