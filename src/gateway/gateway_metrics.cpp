#include "gateway/gateway_metrics.h"

#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace buckthornhill::gateway {
namespace {
constexpr std::size_t max_routes = 64;       //!< further routes share one label value
constexpr std::size_t max_capacities = 1500; //!< the largest deployment has 1,080 upstreams
const prometheus::Histogram::BucketBoundaries latency_bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                             0.6,  0.8,   1.2,  2,   4,   8};
} // namespace

struct gateway_metrics::families
{
    explicit families(prometheus::Registry& registry)
        : responses(prometheus::BuildCounter()
                        .Name("buckthornhill_gateway_answers_total")
                        .Help("Answers to callers by route and outcome.")
                        .Register(registry))
        , latency(prometheus::BuildHistogram()
                      .Name("buckthornhill_gateway_answer_seconds")
                      .Help("Time from a request's arrival to its answer.")
                      .Register(registry))
        , lookups(prometheus::BuildCounter()
                      .Name("buckthornhill_gateway_lookups_total")
                      .Help("Look-ups answered.")
                      .Register(registry)
                      .Add({}))
        , upstream_signals(prometheus::BuildCounter()
                               .Name("buckthornhill_gateway_upstream_signals_total")
                               .Help("Beginnings and ends of what upstreams say of themselves in responses.")
                               .Register(registry))
        , lost_upstreams(prometheus::BuildCounter()
                             .Name("buckthornhill_gateway_lost_upstreams_total")
                             .Help("Upstreams whose connection was lost, by whether they had ended.")
                             .Register(registry))
        , limit_tokens(prometheus::BuildCounter()
                           .Name("buckthornhill_gateway_limit_tokens_total")
                           .Help("Tokens of account limits: granted to requests, unused by them, lent to and "
                                 "returned by instances.")
                           .Register(registry))
        , refusals(prometheus::BuildCounter()
                       .Name("buckthornhill_gateway_refusals_total")
                       .Help("Requests that were refused or rejected without being run, by reason.")
                       .Register(registry))
        , gauges(
              prometheus::BuildGauge()
                  .Name("buckthornhill_gateway_state")
                  .Help(
                      "Live instances, requests in progress, requests waiting, upstreams known, crash "
                      "suspects, instances that share the retry budget, retries spent and denied, age of the "
                      "confirmation of the configuration, accounts that are lent for and limited, share of "
                      "their rates that is lent, plan of the objects.")
                  .Register(registry))
        , capacities(prometheus::BuildGauge()
                         .Name("buckthornhill_gateway_upstream_capacity")
                         .Help("Learned limit of requests in progress, speed relative to the service and "
                               "evidence (effective number of samples) by upstream.")
                         .Register(registry))
    {
    }

    prometheus::Family<prometheus::Counter>& responses;
    prometheus::Family<prometheus::Histogram>& latency;
    prometheus::Counter& lookups;
    prometheus::Family<prometheus::Counter>& upstream_signals;
    prometheus::Family<prometheus::Counter>& lost_upstreams;
    prometheus::Family<prometheus::Counter>& limit_tokens;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Gauge>& gauges;
    prometheus::Family<prometheus::Gauge>& capacities;
};

struct gateway_metrics::route_metrics
{
    std::map<std::string, prometheus::Counter*> responses;
    prometheus::Histogram* latency = nullptr;
};

struct gateway_metrics::capacity_metrics
{
    prometheus::Gauge* limit = nullptr;
    prometheus::Gauge* speed = nullptr;
    prometheus::Gauge* evidence = nullptr;
};

gateway_metrics::gateway_metrics(prometheus::Registry& registry)
    : registered(std::make_unique<families>(registry))
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::on_response(const std::string& route, const std::string& outcome, duration elapsed)
{
    const bool has_own_label = this->routes.contains(route);
    const std::string label = has_own_label || this->routes.size() < max_routes ? route : "other";
    auto& metrics = this->routes[label];
    if (metrics == nullptr) {
        metrics = std::make_unique<route_metrics>();
        metrics->latency = &this->registered->latency.Add({{"route", label}}, latency_bounds);
    }
    auto& counter = metrics->responses[outcome];
    if (counter == nullptr) {
        counter = &this->registered->responses.Add({{"route", label}, {"outcome", outcome}});
    }
    counter->Increment();
    metrics->latency->Observe(std::chrono::duration<double>(elapsed).count());
}

void gateway_metrics::on_refused(const std::string& reason)
{
    this->registered->refusals.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::on_lookup()
{
    this->registered->lookups.Increment();
}

void gateway_metrics::on_upstream_signal(const std::string& signal)
{
    this->registered->upstream_signals.Add({{"signal", signal}}).Increment();
}

void gateway_metrics::on_connection_lost(bool has_ended)
{
    this->registered->lost_upstreams.Add({{"state", has_ended ? "ended" : "running"}}).Increment();
}

void gateway_metrics::on_limit_tokens(const std::string& kind, std::uint64_t count)
{
    this->registered->limit_tokens.Add({{"kind", kind}}).Increment(static_cast<double>(count));
}

void gateway_metrics::set_capacities(const std::vector<placement::upstream_estimate>& known)
{
    auto& family = this->registered->capacities;
    std::set<std::string> listed;
    for (const auto& each : known) {
        listed.insert(each.upstream.str());
    }
    std::erase_if(this->capacities, [&family, &listed](const auto& item) {
        if (listed.contains(item.first)) {
            return false;
        }
        for (auto* gauge : {item.second.limit, item.second.speed, item.second.evidence}) {
            family.Remove(gauge);
        }
        return true;
    });
    for (const auto& [upstream, capacity] : known) {
        auto found = this->capacities.find(upstream.str());
        if (found == this->capacities.end()) {
            if (this->capacities.size() >= max_capacities) {
                continue;
            }
            const auto add = [&family, &label = upstream.str()](const char* kind) {
                return &family.Add({{"upstream", label}, {"kind", kind}});
            };
            const capacity_metrics added{add("limit"), add("speed"), add("evidence")};
            found = this->capacities.emplace(upstream.str(), added).first;
        }
        found->second.limit->Set(capacity.limit);
        found->second.speed->Set(capacity.speed);
        found->second.evidence->Set(capacity.evidence);
    }
}

void gateway_metrics::set_gauge(const std::string& name, double value)
{
    this->registered->gauges.Add({{"kind", name}}).Set(value);
}
} // namespace buckthornhill::gateway
