#include "gateway_fleet.h"

#include <csignal>

namespace buckthornhill::soak {
using std::chrono::milliseconds;

namespace {
constexpr milliseconds restart_pause{400};        //!< between the end of a process and its restart
constexpr milliseconds process_poll_interval{50}; //!< between checks whether processes have ended
constexpr std::size_t series_length = 4;
constexpr milliseconds series_interval{700}; //!< shorter than a start takes until the gateway is ready
constexpr std::size_t share_of_many = 3;
constexpr std::size_t seeds = 2;

time_point now()
{
    return std::chrono::steady_clock::now();
}

std::string settings_of(const deployment& description)
{
    const auto bound = [](const std::string& name, const std::string& value) {
        return "bound = " + name + "=" + value + "\n";
    };
    const auto time_bound = [&bound](const std::string& name, milliseconds time) {
        return bound(name, std::to_string(time.count()) + "ms");
    };
    std::string settings =
        time_bound("stable_window", description.stable_window) + time_bound("drain", description.drain) +
        time_bound("config_apply", description.config_apply) + bound("evacuation", "5000ms") +
        bound("grace", "6s") + bound("retry_budget_ratio", std::to_string(description.retry_ratio)) +
        bound("budget_window", "10s") + bound("retry_budget_burst", std::to_string(description.retry_burst));
    if (description.has_object_plan) {
        settings += "object-plan = on\n";
    }
    if (description.has_accounts) {
        settings += bound("strict_revoke", "true") + time_bound("revoke", description.revoke) +
                    bound("quota_window", "5s") + bound("quota_overrun", "0.1") + bound("quota_slack", "20");
    }
    if (description.upload_share > 0) {
        //! The least memory of an instance in the described deployments.
        settings += "max-memory-mb = 112\n";
    }
    for (const auto& domain : description.domains) {
        settings += "region-of-domain = " + domain.name + "=" + domain.region + "\n";
    }
    return settings;
}
} // namespace

gateway_fleet::gateway_fleet(boost::asio::io_context& io, delayed_calls& later, const deployment& played,
                             const options& how, run_record& run)
    : calls(later)
    , description(played)
    , record(run)
    , peers(std::make_unique<peer_network>(io, how.count))
{
    auto settings = settings_of(played);
    for (std::size_t i = 0; i < std::min(seeds, how.count); ++i) {
        settings += "seed = " + this->peers->address_of(i).str() + "\n";
    }
    for (std::size_t i = 0; i < how.count; ++i) {
        this->store_paths.push_back(std::make_unique<loopback_proxy>(io, how.store));
        const gateway_identity identity{"g" + std::to_string(i), played.domain_of_gateway(i).name,
                                        loopback_address_of(i)};
        const auto own = settings + "peers-advertised = " + this->peers->address_of(i).str() + "\n";
        this->gateways.push_back(std::make_unique<gateway_process>(how.program, how.directory, identity,
                                                                   this->store_paths.back()->address(), own));
        this->start(i);
    }
}

bool gateway_fleet::takes_requests(std::size_t gateway) const
{
    return this->gateways[gateway]->is_running() && !this->gateways[gateway]->is_stopping();
}

void gateway_fleet::start(std::size_t gateway)
{
    this->gateways[gateway]->start();
    this->peers->set_process(gateway, this->gateways[gateway]->pid());
}

void gateway_fleet::restart(std::size_t gateway)
{
    this->start(gateway);
    const auto since = this->down_since.find(gateway);
    this->record.faults.on_gateway_fault(since == this->down_since.end() ? now() : since->second, now(),
                                         this->gateways[gateway]->name());
    this->down_since.erase(gateway);
}

void gateway_fleet::kill(std::size_t gateway)
{
    if (!this->gateways[gateway]->is_running()) {
        return;
    }
    this->down_since.emplace(gateway, now());
    this->gateways[gateway]->kill();
    this->calls.run_after(restart_pause, [this, gateway] { this->restart(gateway); });
}

void gateway_fleet::kill_all()
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        this->kill(i);
    }
}

void gateway_fleet::kill_in_series(std::size_t first)
{
    for (std::size_t i = 0; i < series_length; ++i) {
        //! NOTE Each gateway of the series is hit twice in a row.
        const auto gateway = (first + i / 2) % this->gateways.size();
        this->calls.run_after(i * series_interval, [this, gateway] { this->kill(gateway); });
    }
}

void gateway_fleet::pause(std::size_t gateway, milliseconds time)
{
    if (!this->gateways[gateway]->is_running()) {
        return;
    }
    this->record.faults.on_gateway_fault(now(), now() + time, this->gateways[gateway]->name());
    this->gateways[gateway]->signal(SIGSTOP);
    this->calls.run_after(time, [this, gateway] { this->gateways[gateway]->signal(SIGCONT); });
}

void gateway_fleet::pause_many(std::size_t first, milliseconds time)
{
    for (auto i = first % share_of_many; i < this->gateways.size(); i += share_of_many) {
        this->pause(i, time);
    }
}

void gateway_fleet::stop(std::size_t gateway)
{
    auto& stopped = *this->gateways[gateway];
    if (!stopped.is_running() || stopped.is_stopping()) {
        return;
    }
    this->record.guarantees.on_planned_stop(now(), stopped.name());
    this->down_since.emplace(gateway, now());
    stopped.request_stop();
}

void gateway_fleet::reload_all()
{
    for (const auto& gateway : this->gateways) {
        gateway->rewrite_settings();
        gateway->signal(SIGHUP);
    }
}

void gateway_fleet::set_store_path(std::size_t gateway, proxy_mode mode, milliseconds time)
{
    auto& path = *this->store_paths[gateway];
    this->record.faults.on_gateway_fault(now(), now() + time, this->gateways[gateway]->name());
    path.set_mode(mode);
    this->calls.run_after(time, [&path] { path.set_mode(proxy_mode::pass); });
}

void gateway_fleet::cut_regions(milliseconds time)
{
    std::vector<std::string> regions;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        regions.push_back(this->description.domain_of_gateway(i).region);
    }
    this->peers->cut_between(regions);
    this->calls.run_after(time, [this] { this->peers->end_cut(); });
}

void gateway_fleet::isolate(std::size_t gateway, milliseconds time)
{
    std::vector<std::string> groups(this->gateways.size(), "others");
    groups[gateway] = "isolated";
    this->peers->cut_between(groups);
    this->set_store_path(gateway, proxy_mode::blackhole, time);
    this->calls.run_after(time, [this] { this->peers->end_cut(); });
}

void gateway_fleet::end_faults()
{
    this->peers->end_cut();
    for (const auto& path : this->store_paths) {
        path->set_mode(proxy_mode::pass);
    }
}

void gateway_fleet::start_watching()
{
    this->check_processes();
    this->calls.run_after(process_poll_interval, [this] { this->start_watching(); });
}

void gateway_fleet::check_processes()
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        auto& gateway = *this->gateways[i];
        const bool was_stopping = gateway.is_stopping();
        std::optional<int> exit_code;
        if (!gateway.is_running() || !gateway.has_ended(exit_code)) {
            continue;
        }
        if (!was_stopping || exit_code.value_or(0) != 0) {
            this->record.guarantees.add_violation(gateway.name() + " ended with exit code " +
                                                  std::to_string(exit_code.value_or(0)));
        }
        this->calls.run_after(restart_pause, [this, i] { this->restart(i); });
    }
}
} // namespace buckthornhill::soak
