#include "daemon/request_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace buckthornhill::daemon {
namespace {
//! Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                              0.1,    0.25,  0.5,    1,     2.5,  5,     10};
//! Service names come from callers' paths, so the number of services with metrics of their own is limited.
constexpr std::size_t max_services = 64;
const service_id other_services("other");
} // namespace

struct request_metrics::families
{
    prometheus::Family<prometheus::Counter>* responses;
    prometheus::Family<prometheus::Counter>* refusals;
    prometheus::Family<prometheus::Histogram>* latency;
    prometheus::Family<prometheus::Gauge>* slots;
    prometheus::Counter* lookups;
    prometheus::Counter* heartbeat_bytes;
};

struct request_metrics::service_metrics
{
    std::map<requests::outcome, prometheus::Counter*> responses;
    std::map<admission::refusal_reason, prometheus::Counter*> refusals;
    prometheus::Histogram* latency = nullptr;
    std::map<std::string, prometheus::Gauge*> gauges;
};

request_metrics::request_metrics(prometheus::Registry& registry, const region_id& region)
    : metric_families(std::make_unique<families>())
{
    const std::map<std::string, std::string> labels{{"region", region.str()}};
    this->metric_families->responses = &prometheus::BuildCounter()
                                            .Name("buckthornhill_answers_total")
                                            .Help("Answers to callers by outcome")
                                            .Labels(labels)
                                            .Register(registry);
    this->metric_families->refusals = &prometheus::BuildCounter()
                                           .Name("buckthornhill_refusals_total")
                                           .Help("Requests answered as not executed, by reason")
                                           .Labels(labels)
                                           .Register(registry);
    this->metric_families->latency = &prometheus::BuildHistogram()
                                          .Name("buckthornhill_request_duration_seconds")
                                          .Help("Time from a request's arrival to its answer")
                                          .Labels(labels)
                                          .Register(registry);
    this->metric_families->slots = &prometheus::BuildGauge()
                                        .Name("buckthornhill_slots")
                                        .Help("Slots of owned upstreams by kind")
                                        .Labels(labels)
                                        .Register(registry);
    this->metric_families->lookups = &prometheus::BuildCounter()
                                          .Name("buckthornhill_lookups_total")
                                          .Help("Look-ups of entry instances")
                                          .Labels(labels)
                                          .Register(registry)
                                          .Add({});
    this->metric_families->heartbeat_bytes = &prometheus::BuildCounter()
                                                  .Name("buckthornhill_heartbeat_bytes_total")
                                                  .Help("Bytes of heartbeats sent and received")
                                                  .Labels(labels)
                                                  .Register(registry)
                                                  .Add({});
}

request_metrics::~request_metrics() = default;

request_metrics::service_metrics& request_metrics::metrics_of(const service_id& service)
{
    const bool is_known = this->services.contains(service);
    const auto& name = is_known || this->services.size() < max_services ? service : other_services;
    auto& metrics = this->services[name];
    if (!metrics) {
        metrics = std::make_unique<service_metrics>();
        metrics->latency = &this->metric_families->latency->Add({{"service", name.str()}}, latency_buckets);
    }
    return *metrics;
}

void request_metrics::record_response(const service_id& service, requests::outcome result,
                                      admission::refusal_reason reason, duration took)
{
    auto& metrics = this->metrics_of(service);
    auto*& responses = metrics.responses[result];
    if (responses == nullptr) {
        responses = &this->metric_families->responses->Add(
            {{"service", service.str()}, {"outcome", std::string(requests::to_string(result))}});
    }
    responses->Increment();
    metrics.latency->Observe(std::chrono::duration<double>(took).count());
    if (result != requests::outcome::not_executed) {
        return;
    }
    auto*& refusals = metrics.refusals[reason];
    if (refusals == nullptr) {
        refusals = &this->metric_families->refusals->Add(
            {{"service", service.str()}, {"reason", std::string(admission::to_string(reason))}});
    }
    refusals->Increment();
}

void request_metrics::record_lookup()
{
    this->metric_families->lookups->Increment();
}

void request_metrics::record_heartbeat_bytes(std::size_t bytes)
{
    this->metric_families->heartbeat_bytes->Increment(static_cast<double>(bytes));
}

void request_metrics::set_gauge(const std::string& name, const service_id& service, double value)
{
    auto*& gauge = this->metrics_of(service).gauges[name];
    if (gauge == nullptr) {
        gauge = &this->metric_families->slots->Add({{"service", service.str()}, {"kind", name}});
    }
    gauge->Set(value);
}
} // namespace buckthornhill::daemon
