#include "soak_run.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds startup_time{2500};  //!< until all gateways have complete information
constexpr milliseconds recovery_time{6000}; //!< until everything has recovered; users accept 15 s
//! From the recovery to a drain and a configuration change, whose bounds no fault excuses.
constexpr milliseconds final_operations_delay{1500};
constexpr milliseconds recovered_load_time{6000};      //!< in which recovery, drain and change are checked
constexpr std::size_t max_upload_limit = 512UL * 1024; //!< of the configuration; callers send less
constexpr milliseconds last_response_wait{4000};       //!< for requests in progress at the end

time_point now()
{
    return std::chrono::steady_clock::now();
}

schedule_options schedule_of(const soak_options& options, const upstream_fleet& upstreams)
{
    return {options.seed,     options.fault_time,        options.played.gateway_count(),
            upstreams.size(), upstreams.service_count(), options.played.restores_store};
}

std::string percent(double share)
{
    constexpr double hundred = 100;
    return std::to_string(static_cast<int>(share * hundred)) + " %";
}
} // namespace

soak_run::soak_run(const soak_options& run_options)
    : options(run_options)
    , record(this->options.played)
    , store(this->context)
{
    if (this->options.played.restores_store) {
        this->store.name_era(1);
    }
    upstream_fleet::hooks hooks;
    hooks.is_crashing = [this](const http::http_request& request) { return this->is_crashing(request); };
    hooks.work_of = [this](const http::http_request& request) { return this->work_of(request); };
    this->upstreams = std::make_unique<upstream_fleet>(this->context, this->calls, this->options.played,
                                                       this->store, this->record, std::move(hooks));
    if (this->options.played.has_accounts) {
        this->set_up_accounts();
    }
    this->faults = draw_schedule(schedule_of(this->options, *this->upstreams));
    const gateway_fleet::options how{this->options.gateway_program, this->options.directory,
                                     this->options.played.gateway_count(), this->store.address()};
    this->gateways =
        std::make_unique<gateway_fleet>(this->context, this->calls, this->options.played, how, this->record);
    this->load = std::make_unique<request_load>(
        this->context, this->calls, this->options.played, *this->gateways,
        request_load::options{.seed = this->options.seed,
                              .scale = this->options.load,
                              .accounts = this->accounts ? &*this->accounts : nullptr},
        this->record);
    this->change_configuration();
    this->upstreams->become_steady();
}

soak_run::~soak_run()
{
    //! NOTE Pending operations must complete here, while the objects that they refer to still exist. Timers
    //! that are due must not start anything new.
    this->calls.stop();
    this->gateways.reset();
    this->load.reset();
    this->context.restart();
    this->context.poll();
}

void soak_run::change_configuration()
{
    ++this->routes_version;
    this->write_configuration();
}

void soak_run::write_configuration()
{
    ++this->last_version;
    const auto services = this->put_current_configuration();
    this->record.guarantees.on_configuration(now(), services);
    this->load->on_configuration(services);
}

std::map<std::string, std::string> soak_run::put_current_configuration()
{
    const auto version = this->routes_version;
    const bool has_uploads = this->options.played.upload_share > 0;
    std::vector<route_description> routes;
    std::map<std::string, std::string> services;
    for (const auto& kind : this->options.played.kinds) {
        constexpr std::uint64_t drop_period = 3;
        if (kind.is_dropped_at_times && version % drop_period == 1) {
            continue;
        }
        const auto& service = kind.services[(version - 1) % kind.services.size()];
        routes.push_back({kind.path_prefix, service, kind.may_repeat, kind.timeout, kind.objective,
                          kind.priority, kind.max_attempts, has_uploads});
        services[kind.path_prefix] = service;
    }
    std::map<std::string, unsigned> cold_rates;
    for (const auto& service : this->options.played.services) {
        cold_rates[service.name] = service.cold_requests_per_second;
    }
    put_configuration(this->store, this->last_version, routes, cold_rates, this->account_descriptions(),
                      has_uploads ? max_upload_limit : default_max_body_bytes);
    return services;
}

std::vector<std::string> soak_run::execute()
{
    this->calls.run_after(startup_time, [this] { this->load->start(); });
    if (this->accounts) {
        this->calls.run_after(startup_time, [this] {
            this->start_long_silences();
            this->change_keys_again_and_again();
        });
    }
    for (const auto& fault : this->faults) {
        this->calls.run_after(startup_time + fault.at, [this, fault] { this->inject(fault); });
    }
    this->calls.run_after(startup_time + this->options.fault_time, [this] { this->end_fault_injection(); });
    const auto recovered = startup_time + this->options.fault_time + recovery_time;
    this->calls.run_after(recovered, [this] { this->record.guarantees.on_recovered(now()); });
    this->calls.run_after(recovered + final_operations_delay, [this] {
        this->upstreams->leave(this->options.seed % this->upstreams->size(), this->options.seed % 2 == 0);
        this->change_configuration();
    });
    this->calls.run_after(recovered + recovered_load_time, [this] { this->load->stop(); });
    this->calls.run_after(recovered + recovered_load_time + last_response_wait,
                          [this] { this->context.stop(); });
    this->gateways->start_watching();
    this->context.run();
    this->record_arrivals();
    this->check_quarantined_requests();
    auto violations = this->record.guarantees.violations();
    std::ranges::copy(this->record.arrivals.violations(), std::back_inserter(violations));
    std::ranges::copy(this->record.attempts.violations(), std::back_inserter(violations));
    std::ranges::copy(this->record.retries.violations(), std::back_inserter(violations));
    std::ranges::copy(this->record.accounts.violations(), std::back_inserter(violations));
    std::ranges::copy(this->record.bodies.violations(), std::back_inserter(violations));
    return violations;
}

void soak_run::record_arrivals()
{
    for (const auto& run : this->upstreams->runs()) {
        if (run.is_executed) {
            this->record.guarantees.on_execution(run.started_at, run.request, run.upstream, run.service);
            this->record.bodies.on_execution(run.request, run.upstream, run.body);
        }
        if (this->accounts) {
            this->record_account(run);
        }
        this->record.arrivals.on_arrival(run.started_at, run.request, run.upstream, run.is_misdirected);
        this->record.retries.on_arrival(run.started_at, run.request, run.service);
        this->record.attempts.on_arrival(run.started_at, run.request, run.upstream, run.is_executed,
                                         run.time_left);
        if (run.limit_named_at) {
            this->record.arrivals.on_limit_named(*run.limit_named_at, run.request, run.upstream);
        }
        if (run.leaving_named_at) {
            this->record.arrivals.on_leaving_named(*run.leaving_named_at, run.request, run.upstream);
        }
        if (run.turned_away_at) {
            this->record.arrivals.on_turned_away(*run.turned_away_at, run.turned_away_until, run.request,
                                                 run.upstream);
        }
    }
}

void soak_run::inject(const scheduled_fault& fault)
{
    ++this->event_counts[to_string(fault.kind)];
    switch (fault.kind) {
    case fault_kind::kill:
    case fault_kind::kill_all:
    case fault_kind::kill_in_series:
    case fault_kind::pause:
    case fault_kind::pause_many:
    case fault_kind::stop:
    case fault_kind::reload:
    case fault_kind::store_path:
    case fault_kind::cut_instances:
        this->inject_at_gateways(fault);
        break;
    case fault_kind::store:
        this->inject_store_fault(fault);
        break;
    case fault_kind::restore_store:
        this->restore_store(fault);
        break;
    case fault_kind::impatient_callers:
    case fault_kind::leaving_callers:
    case fault_kind::crashing_request:
        this->inject_at_callers(fault);
        break;
    case fault_kind::configuration:
        this->change_configuration();
        break;
    default:
        this->inject_at_upstreams(fault);
        break;
    }
}

void soak_run::inject_at_gateways(const scheduled_fault& fault)
{
    static constexpr std::array modes{proxy_mode::delay, proxy_mode::blackhole, proxy_mode::block_responses,
                                      proxy_mode::lose_responses, proxy_mode::reset};
    switch (fault.kind) {
    case fault_kind::kill:
        this->gateways->kill(fault.target);
        break;
    case fault_kind::kill_all:
        this->gateways->kill_all();
        break;
    case fault_kind::kill_in_series:
        this->gateways->kill_in_series(fault.target);
        break;
    case fault_kind::pause:
        this->gateways->pause(fault.target, fault.duration);
        break;
    case fault_kind::pause_many:
        this->gateways->pause_many(fault.target, fault.duration);
        break;
    case fault_kind::stop:
        this->gateways->stop(fault.target);
        break;
    case fault_kind::reload:
        this->gateways->reload_all();
        break;
    case fault_kind::store_path:
        this->gateways->set_store_path(fault.target, modes[fault.variant % modes.size()], fault.duration);
        break;
    default:
        this->gateways->cut_regions(fault.duration);
        break;
    }
}

void soak_run::inject_store_fault(const scheduled_fault& fault)
{
    store_faults chosen;
    switch (fault.variant % 5) {
    case 0:
        chosen.is_unresponsive = true;
        break;
    case 1:
        chosen.is_unavailable = true;
        break;
    case 2:
        chosen.delay = milliseconds(200);
        break;
    case 3:
        chosen.lost_per_ten_writes = 5;
        break;
    default:
        this->store.forget_history();
        break;
    }
    this->record.faults.on_store_fault(now(), now() + fault.duration);
    this->store.set_faults(chosen);
    this->calls.run_after(fault.duration, [this] { this->store.set_faults({}); });
}

void soak_run::inject_at_upstreams(const scheduled_fault& fault)
{
    static constexpr std::array modes{proxy_mode::delay,           proxy_mode::blackhole,
                                      proxy_mode::block_responses, proxy_mode::lose_responses,
                                      proxy_mode::add_refusals,    proxy_mode::repeat_responses,
                                      proxy_mode::cut_heads,       proxy_mode::reset};
    static constexpr std::array failures{request_failure::rejected, request_failure::error,
                                         request_failure::unanswered};
    static constexpr std::array<unsigned, 3> failed_per_hundred{40, 70, 95};
    switch (fault.kind) {
    case fault_kind::upstream_path:
        this->upstreams->set_path(fault.target, modes[fault.variant % modes.size()], fault.duration);
        break;
    case fault_kind::spoil_responses:
        this->upstreams->spoil_responses(fault.target, fault.variant, fault.duration);
        break;
    case fault_kind::lose_responses:
        this->upstreams->lose_responses(fault.target, fault.duration);
        break;
    case fault_kind::slow_upstreams:
        this->upstreams->slow_down(fault.target, fault.duration);
        break;
    case fault_kind::crash:
        this->upstreams->crash(fault.target);
        break;
    case fault_kind::crash_many:
        this->upstreams->crash_many(fault.target);
        break;
    case fault_kind::turn_away:
        this->upstreams->turn_away(fault.target, fault.duration);
        break;
    case fault_kind::limit: {
        constexpr std::uint64_t steps = 200;
        constexpr double min_limit = 2;
        constexpr double step = 0.1;
        this->upstreams->name_limit(
            fault.target, min_limit + step * static_cast<double>(fault.variant % steps), fault.duration);
        break;
    }
    case fault_kind::leave:
        this->upstreams->leave(fault.target, fault.variant % 2 == 0);
        break;
    case fault_kind::reuse_address:
        this->upstreams->exchange_addresses(fault.target);
        break;
    default:
        this->upstreams->fail_service(
            fault.target, failures[fault.variant % failures.size()],
            failed_per_hundred[fault.variant / failures.size() % failed_per_hundred.size()], fault.duration);
        break;
    }
}

void soak_run::inject_at_callers(const scheduled_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::impatient_callers:
        this->load->become_impatient(fault.duration);
        break;
    case fault_kind::leaving_callers:
        this->load->leave_early(fault.duration);
        break;
    default:
        this->start_crashing_request(fault.variant);
        break;
    }
}

void soak_run::end_fault_injection()
{
    this->is_injection_over = true;
    this->store.set_faults({});
    this->gateways->end_faults();
    this->upstreams->end_faults();
}

milliseconds soak_run::work_of(const http::http_request& request) const
{
    const auto& kinds = this->options.played.kinds;
    const auto kind = std::ranges::find_if(
        kinds, [&request](const request_kind& one) { return request.target.starts_with(one.path_prefix); });
    return kind == kinds.end() ? milliseconds(1) : kind->work;
}

std::string soak_run::summary() const
{
    const auto& guarantees = this->record.guarantees;
    std::string text = "seed " + std::to_string(this->options.seed) + ": " +
                       std::to_string(guarantees.request_count()) + " requests, " +
                       std::to_string(guarantees.single_run_count()) + " of them may run once";
    const auto add = [&](const char* name, request_outcome outcome) {
        text += std::string(", ") + name + " " + std::to_string(guarantees.count(outcome));
    };
    add("whole", request_outcome::whole);
    add("refused", request_outcome::refused);
    if (this->accounts) {
        add("rejected", request_outcome::rejected);
    }
    add("no route", request_outcome::no_route);
    add("unknown", request_outcome::unknown);
    add("broken", request_outcome::broken);
    text += "; largest part of a retry budget " + percent(this->record.retries.largest_share()) +
            "; spoilt responses " + std::to_string(this->upstreams->spoiled_responses()) +
            "; faults and planned operations:";
    for (const auto& [name, count] : this->event_counts) {
        text += " " + name + " x" + std::to_string(count);
    }
    return text;
}
} // namespace buckthornhill::soak
