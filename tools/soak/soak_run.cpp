#include "soak_run.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
//! Only two, so that each failure domain has enough gateways for a relay.
constexpr std::array<const char*, 2> domains{"north-a", "south-a"};
constexpr std::array<const char*, 3> services{"steady", "left", "right"};
constexpr milliseconds request_work_time{40}; //!< long enough that a crash interrupts some requests
constexpr milliseconds cold_time{3000};       //!< of upstreams that start during a run
constexpr unsigned cold_requests_per_second = 8;
//! Bounds of the deployment that the checkers judge by.
constexpr const char* bounds_settings =
    "bound = stable_window=3000ms\nbound = drain=2000ms\nbound = config_apply=2000ms\n"
    "bound = evacuation=5000ms\nbound = grace=6s\nbound = retry_budget_ratio=0.2\n"
    "bound = budget_window=10s\n";
constexpr milliseconds startup_time{2500};  //!< until all gateways have complete information
constexpr milliseconds recovery_time{6000}; //!< until everything has recovered; users accept 15 s
//! From the recovery to a drain and a configuration change, whose bounds no fault excuses.
constexpr milliseconds final_operations_delay{1500};
constexpr milliseconds recovered_load_time{6000}; //!< in which recovery, drain and change are checked
constexpr milliseconds last_response_wait{4000};  //!< for requests in progress at the end

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

soak_run::soak_run(const soak_options& run_options)
    : options(run_options)
    , random(run_options.seed)
    , store(this->context)
    , arrivals({.retry_burst = static_cast<double>(run_options.retry_burst)})
{
    for (const auto* service : services) {
        for (std::size_t i = 0; i < run_options.upstreams_of_service; ++i) {
            this->add_upstream(service);
        }
    }
    this->change_configuration();
    std::string settings = bounds_settings;
    settings += "bound = retry_budget_burst=" + std::to_string(run_options.retry_burst) + "\n";
    for (const auto* domain : domains) {
        const std::string name(domain);
        settings += "region-of-domain = " + name + "=" + name.substr(0, name.find('-')) + "\n";
    }
    for (std::size_t i = 0; i < 2; ++i) {
        settings +=
            "seed = " + loopback_address_of(i) + ":" + std::to_string(gateway_process::peers_port) + "\n";
    }
    this->start_gateways(settings);
    this->crash_client = std::make_unique<http::http_client>(this->context, http::client_limits{});
    this->callers.resize(run_options.callers);
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
        this->callers[i].client = std::make_unique<http::http_client>(this->context, http::client_limits{});
    }
}

soak_run::~soak_run()
{
    //! NOTE Pending operations must complete here, while the objects that they refer to still exist. Timers
    //! that are due must not start anything new.
    this->is_over = true;
    this->gateways.clear();
    this->callers.clear();
    this->crash_client.reset();
    this->store_proxies.clear();
    this->context.restart();
    this->context.poll();
}

std::uint64_t soak_run::draw(std::uint64_t bound)
{
    return this->random() % bound;
}

milliseconds soak_run::draw_duration(int min_ms, int max_ms)
{
    return milliseconds(min_ms + static_cast<int>(this->draw(static_cast<std::uint64_t>(max_ms - min_ms))));
}

void soak_run::run_after(milliseconds time, action callback)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, time);
    timer->async_wait(
        [this, timer, callback = std::move(callback)](const boost::system::error_code& failure) {
            if (!failure && !this->is_over) {
                callback();
            }
        });
}

void soak_run::record_store_fault(milliseconds time)
{
    this->checker.on_store_fault(now(), now() + time);
}

void soak_run::record_gateway_fault(milliseconds time, const gateway_process& gateway)
{
    this->excuse_gateway(now(), now() + time, gateway);
}

void soak_run::excuse_gateway(time_point from, time_point until, const gateway_process& gateway)
{
    this->checker.on_gateway_fault(from, until, gateway.name());
    this->arrivals.on_gateway_fault(from, until, gateway.name());
}

void soak_run::restart_gateway(gateway_process& gateway)
{
    gateway.start();
    const auto since = this->down_since.find(gateway.name());
    this->excuse_gateway(since == this->down_since.end() ? now() : since->second, now(), gateway);
    this->down_since.erase(gateway.name());
}

void soak_run::start_gateways(const std::string& settings)
{
    for (std::size_t i = 0; i < this->options.gateways; ++i) {
        this->store_proxies.push_back(std::make_unique<loopback_proxy>(this->context, this->store.address()));
        const gateway_identity identity{"g" + std::to_string(i), domains[i % domains.size()],
                                        loopback_address_of(i)};
        this->gateways.push_back(
            std::make_unique<gateway_process>(this->options.gateway_program, this->options.directory,
                                              identity, this->store_proxies.back()->address(), settings));
        this->gateways.back()->start();
    }
}

void soak_run::add_upstream(const std::string& service)
{
    upstream_traits traits;
    traits.id = "u" + std::to_string(++this->last_upstream);
    traits.service = service;
    traits.processing_time = request_work_time;
    traits.lost_per_hundred = 1;
    traits.is_crashed_by = [this](const http::http_request& request) { return this->is_crashing(request); };
    traits.on_crash = [this, id = traits.id](const http::http_request& request) {
        this->arrivals.on_crash(now(), request.target);
        this->end_upstream(id);
    };
    const bool starts_during_run = !this->gateways.empty();
    if (starts_during_run) {
        traits.cold_time = cold_time;
        this->arrivals.on_cold(now(), now() + cold_time, traits.id, cold_requests_per_second);
    }
    traits.domain = domains[this->last_upstream % domains.size()];
    proxied_upstream proxied;
    proxied.upstream = std::make_unique<platform_upstream>(this->context, traits, this->upstream_runs);
    proxied.proxy = std::make_unique<loopback_proxy>(this->context, proxied.upstream->address());
    put_upstream(this->store, *proxied.upstream, proxied.proxy->address(), false);
    if (starts_during_run) {
        this->run_after(cold_time, [this, id = traits.id] {
            const auto* warm = this->find_upstream(id);
            if (warm != nullptr && !warm->is_leaving) {
                put_upstream(this->store, *warm->upstream, warm->proxy->address(), false);
            }
        });
    }
    this->upstreams.push_back(std::move(proxied));
}

void soak_run::remove_upstream(const std::string& id)
{
    if (auto* proxied = this->find_upstream(id)) {
        this->end_limit(*proxied);
    }
    remove_upstream_entry(this->store, id);
    this->upstreams.remove_if(
        [&id](const proxied_upstream& proxied) { return proxied.upstream->id() == id; });
}

void soak_run::change_configuration()
{
    const std::string moving = this->last_version % 2 == 0 ? services[1] : services[2];
    const std::string other = moving == services[1] ? services[2] : services[1];
    std::vector<route_description> routes{{"/steady/", services[0], true},
                                          {"/once/", services[0], false},
                                          {"/moving/", moving, false},
                                          {"/other/", other, true}};
    const bool has_added_route = this->last_version % 3 != 0;
    if (has_added_route) {
        routes.push_back({"/added/", other, true});
    }
    put_configuration(this->store, ++this->last_version, routes, cold_requests_per_second);
    this->service_by_prefix.clear();
    for (const auto& route : routes) {
        this->service_by_prefix[route.path_prefix] = route.service;
    }
    this->checker.on_configuration(now(), this->service_by_prefix);
}

std::vector<std::string> soak_run::execute()
{
    this->run_after(startup_time, [this] {
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            this->send_request(i);
        }
        this->inject_next_fault();
        this->start_planned_operation();
    });
    this->run_after(startup_time + this->options.fault_time, [this] { this->end_fault_injection(); });
    const auto recovered = startup_time + this->options.fault_time + recovery_time;
    this->run_after(recovered, [this] { this->checker.on_recovered(now()); });
    this->run_after(recovered + final_operations_delay, [this] {
        this->drain_random_upstream();
        this->change_configuration();
    });
    this->run_after(recovered + recovered_load_time, [this] { this->is_load_over = true; });
    this->run_after(recovered + recovered_load_time + last_response_wait, [this] { this->context.stop(); });
    this->watch_processes();
    this->context.run();
    for (const auto& run : this->upstream_runs) {
        if (run.is_executed) {
            this->checker.on_execution(run.started_at, run.request, run.upstream, run.service);
        }
        this->arrivals.on_arrival(run.started_at, run.request, run.upstream, run.service);
        this->attempts.on_arrival(run.started_at, run.request, run.upstream, run.is_executed, run.time_left);
        if (run.limit_named_at) {
            this->arrivals.on_limit_named(*run.limit_named_at, run.request, run.upstream);
        }
        if (run.leaving_named_at) {
            this->arrivals.on_leaving_named(*run.leaving_named_at, run.request, run.upstream);
        }
        if (run.turned_away_at) {
            this->arrivals.on_turned_away(*run.turned_away_at, run.turned_away_until, run.request,
                                          run.upstream);
        }
    }
    this->check_quarantined_requests();
    auto violations = this->checker.violations();
    std::ranges::copy(this->arrivals.violations(), std::back_inserter(violations));
    std::ranges::copy(this->attempts.violations(), std::back_inserter(violations));
    return violations;
}

std::string soak_run::summary() const
{
    std::string text = "seed " + std::to_string(this->options.seed) + ": " +
                       std::to_string(this->checker.request_count()) + " requests";
    const auto add = [this, &text](const char* name, request_outcome outcome) {
        text += std::string(", ") + name + " " + std::to_string(this->checker.count(outcome));
    };
    add("whole", request_outcome::whole);
    add("refused", request_outcome::refused);
    add("no route", request_outcome::no_route);
    add("unknown", request_outcome::unknown);
    add("broken", request_outcome::broken);
    text += "; faults and planned operations:";
    for (const auto& [name, count] : this->event_counts) {
        text += " " + name + " x" + std::to_string(count);
    }
    return text;
}
} // namespace buckthornhill::soak
