#include "policy_bench.h"

#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "admission/service_admission.h"
#include "load_report.h"
#include "steering/owner_selector.h"

//! Simulates one region in virtual time: 9 entry instances in front of 16 upstreams with 5 slots each.
namespace buckthornhill::bench {
namespace {
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int entry_count = 9;
constexpr int upstream_count = 16;
constexpr std::int64_t slots = 5;
constexpr int arrivals = 200'000;
constexpr milliseconds report_interval{500};
constexpr milliseconds hop_time{5};
constexpr double mean_service_ms = 20;
constexpr milliseconds request_deadline{2000};
constexpr int max_attempts = 4;
const service_id service_name("queuedesk");

struct outcome_counts
{
    std::uint64_t sheds = 0;   //!< overload events: attempts at an upstream that was at capacity
    std::uint64_t refused = 0; //!< requests that ended without a response
    std::vector<double> latencies_ms;
};

//! Runs events in the order of their virtual time.
class event_queue
{
public:
    time_point now{};

    void at(time_point when, std::function<void()> run) { this->events.emplace(when, std::move(run)); }

    void run()
    {
        while (!this->events.empty()) {
            const auto next = this->events.begin();
            this->now = next->first;
            const auto run = std::move(next->second);
            this->events.erase(next);
            run();
        }
    }

private:
    std::multimap<time_point, std::function<void()>> events;
};

//! Arrivals and service times for one seed and utilization, the same for every policy.
struct arrival_trace
{
    struct arrival
    {
        time_point at;
        int entry;
        microseconds service;
    };
    std::vector<arrival> all;

    arrival_trace(std::uint64_t seed, double utilization)
    {
        std::mt19937_64 random(seed);
        const auto per_ms = utilization * upstream_count * slots / mean_service_ms;
        std::exponential_distribution<double> gap(per_ms);
        std::exponential_distribution<double> service(1 / mean_service_ms);
        double at_ms = 10000;
        for (int i = 0; i < arrivals; ++i) {
            at_ms += gap(random);
            this->all.push_back({time_point{} + microseconds(static_cast<std::int64_t>(at_ms * 1000)),
                                 static_cast<int>(random() % entry_count),
                                 microseconds(1 + static_cast<std::int64_t>(service(random) * 1000))});
        }
    }
};

//! Chooses an upstream by reported loads, which are up to one report interval old.
using baseline_policy =
    std::function<int(int entry, const std::vector<std::int64_t>& reported, std::mt19937_64&)>;

outcome_counts run_baseline(const arrival_trace& trace, const baseline_policy& choose)
{
    event_queue events;
    std::mt19937_64 random(5);
    std::vector<std::int64_t> in_use(upstream_count, 0);
    std::vector<std::int64_t> reported(upstream_count, 0);
    outcome_counts counts;
    time_point next_report{};
    std::function<void(const arrival_trace::arrival&, int)> send = [&](const arrival_trace::arrival& arrival,
                                                                       int attempts) {
        if (events.now >= next_report) {
            reported = in_use;
            next_report = events.now + report_interval;
        }
        const auto chosen = static_cast<std::size_t>(choose(arrival.entry, reported, random));
        events.at(events.now + hop_time, [&, chosen, attempts, arrival] {
            if (in_use[chosen] >= slots) {
                ++counts.sheds;
                if (attempts + 1 >= max_attempts) {
                    ++counts.refused;
                    return;
                }
                events.at(events.now + hop_time, [&, arrival, attempts] { send(arrival, attempts + 1); });
                return;
            }
            ++in_use[chosen];
            events.at(events.now + arrival.service, [&, chosen, arrival] {
                --in_use[chosen];
                const std::chrono::duration<double, std::milli> took = events.now + hop_time - arrival.at;
                counts.latencies_ms.push_back(took.count());
            });
        });
    };
    for (const auto& arrival : trace.all) {
        events.at(arrival.at, [&, arrival] { send(arrival, 0); });
    }
    events.run();
    return counts;
}

//! Simulates owners with the daemon's admission and steering code. Reports are as old as for the baselines.
class owner_run
{
public:
    explicit owner_run(const arrival_trace& arrivals_trace)
        : trace(arrivals_trace)
        , random(5)
    {
        const auto source = [this] { return this->random(); };
        for (int i = 0; i < entry_count; ++i) {
            this->owners.push_back(std::make_unique<admission::service_admission>(
                service_name, admission::admission_configuration{}, source));
            this->selectors.emplace_back(name_of(i), place{region_id("r"), domain_of(i)},
                                         steering::steering_configuration{}, source);
        }
        for (int i = 0; i < upstream_count; ++i) {
            ownership::upstream_description upstream;
            upstream.id = upstream_id("u" + std::to_string(i));
            upstream.slots = slot_count(slots);
            this->owners[static_cast<std::size_t>(i % entry_count)]->own(time_point{}, upstream);
        }
    }

    outcome_counts run()
    {
        for (std::uint64_t i = 0; i < this->trace.all.size(); ++i) {
            this->events.at(this->trace.all[i].at, [this, i] { this->route(flow_id(i)); });
        }
        this->events.run();
        return this->counts;
    }

private:
    struct flow_state
    {
        std::size_t owner = 0;
        std::set<instance_id> tried;
    };

    static instance_id name_of(int index) { return instance_id("e" + std::to_string(index)); }
    static domain_id domain_of(int index) { return domain_id("d" + std::to_string(index % 2)); }

    const arrival_trace::arrival& arrival_of(flow_id flow) const { return this->trace.all[flow.value()]; }

    void share_reports()
    {
        if (this->events.now < this->next_report) {
            return;
        }
        this->next_report = this->events.now + report_interval;
        for (int owner = 0; owner < entry_count; ++owner) {
            const auto report = this->owners[static_cast<std::size_t>(owner)]->report(this->events.now);
            for (auto& selector : this->selectors) {
                selector.on_report(this->events.now, name_of(owner), {region_id("r"), domain_of(owner)},
                                   report, 0);
            }
        }
    }

    void route(flow_id flow)
    {
        this->share_reports();
        auto& state = this->flows[flow];
        auto& selector = this->selectors[static_cast<std::size_t>(this->arrival_of(flow).entry)];
        const auto choice = selector.choose(this->events.now, service_name, {}, state.tried);
        if (choice.owner.empty()) {
            ++this->counts.refused;
            return;
        }
        state.owner = static_cast<std::size_t>(std::stoi(choice.owner.str().substr(1)));
        selector.on_sent(choice.owner, service_name);
        const bool is_own = static_cast<int>(state.owner) == this->arrival_of(flow).entry;
        this->events.at(this->events.now + (is_own ? milliseconds(0) : hop_time),
                        [this, flow] { this->offer(flow); });
    }

    void offer(flow_id flow)
    {
        admission::admission_request request;
        request.flow = flow;
        request.service = service_name;
        request.deadline = this->arrival_of(flow).at + request_deadline;
        request.is_idempotent = true;
        request.affinity = flow.value();
        auto& owner = *this->owners[this->flows[flow].owner];
        this->on_decision(flow, owner.offer(this->events.now, request));
    }

    void on_decision(flow_id flow, const admission::admission_decision& decision)
    {
        auto& state = this->flows[flow];
        if (decision.kind == admission::admission_kind::started) {
            this->start(flow, decision.upstream);
        } else if (decision.kind == admission::admission_kind::refused) {
            auto& selector = this->selectors[static_cast<std::size_t>(this->arrival_of(flow).entry)];
            const auto owner = name_of(static_cast<int>(state.owner));
            selector.on_returned(owner, service_name);
            selector.on_refused(owner, service_name);
            state.tried.insert(owner);
            if (state.tried.size() >= max_attempts) {
                ++this->counts.refused;
                return;
            }
            this->events.at(this->events.now + hop_time, [this, flow] { this->route(flow); });
        }
    }

    void start(flow_id flow, const upstream_id& upstream)
    {
        if (++this->in_use[upstream] > slots) {
            ++this->counts.sheds;
        }
        this->events.at(this->events.now + this->arrival_of(flow).service, [this, flow, upstream] {
            --this->in_use[upstream];
            const auto owner_index = this->flows[flow].owner;
            auto& owner = *this->owners[owner_index];
            auto& selector = this->selectors[static_cast<std::size_t>(this->arrival_of(flow).entry)];
            selector.on_returned(name_of(static_cast<int>(owner_index)), service_name);
            const bool is_own = static_cast<int>(owner_index) == this->arrival_of(flow).entry;
            const auto back = is_own ? milliseconds(0) : hop_time;
            const std::chrono::duration<double, std::milli> took =
                this->events.now + back - this->arrival_of(flow).at;
            this->counts.latencies_ms.push_back(took.count());
            if (!is_own) {
                selector.on_response_report(this->events.now, name_of(static_cast<int>(owner_index)),
                                            owner.report(this->events.now));
            }
            owner.on_finish(this->events.now, flow, admission::attempt_result::completed);
            for (const auto& event : owner.take_events()) {
                this->on_decision(event.flow, event.decision);
            }
        });
    }

    const arrival_trace& trace;
    std::mt19937_64 random;
    event_queue events;
    std::vector<std::unique_ptr<admission::service_admission>> owners;
    std::vector<steering::owner_selector> selectors;
    std::unordered_map<flow_id, flow_state> flows;
    std::map<upstream_id, std::int64_t> in_use;
    outcome_counts counts;
    time_point next_report{};
};

void print(const std::string& name, const outcome_counts& counts)
{
    std::cout << "  " << std::left << std::setw(34) << name << std::right << " overload events "
              << std::setw(7) << counts.sheds << ", refused " << std::setw(6) << counts.refused << ", p50 "
              << std::fixed << std::setprecision(1) << load::percentile(counts.latencies_ms, 0.5)
              << " ms, p99 " << load::percentile(counts.latencies_ms, 0.99) << " ms\n";
}

baseline_policy round_robin()
{
    return [next = std::vector<int>(entry_count, 0)](int entry, const std::vector<std::int64_t>&,
                                                     std::mt19937_64&) mutable {
        return next[static_cast<std::size_t>(entry)]++ % upstream_count;
    };
}

baseline_policy shortest_queue()
{
    return [](int, const std::vector<std::int64_t>& reported, std::mt19937_64& random) {
        std::vector<int> best;
        for (int i = 0; i < upstream_count; ++i) {
            const auto load = reported[static_cast<std::size_t>(i)];
            const auto least = best.empty() ? load : reported[static_cast<std::size_t>(best.front())];
            if (load < least) {
                best.clear();
            }
            if (best.empty() || load == least) {
                best.push_back(i);
            }
        }
        return best[random() % best.size()];
    };
}

baseline_policy two_choices()
{
    return [](int, const std::vector<std::int64_t>& reported, std::mt19937_64& random) {
        const auto a = random() % upstream_count;
        const auto b = random() % upstream_count;
        return static_cast<int>(reported[a] <= reported[b] ? a : b);
    };
}
} // namespace

void run_policy_bench()
{
    for (const double utilization : {0.5, 0.7, 0.85, 0.95, 1.2}) {
        const arrival_trace trace(11, utilization);
        std::cout << "utilization " << utilization << ", " << arrivals << " requests, loads reported every "
                  << report_interval.count() << " ms\n";
        print("owners decide", owner_run(trace).run());
        print("round robin", run_baseline(trace, round_robin()));
        print("shortest queue by reported loads", run_baseline(trace, shortest_queue()));
        print("power of two choices", run_baseline(trace, two_choices()));
    }
}
} // namespace buckthornhill::bench
