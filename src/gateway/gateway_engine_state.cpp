//! What operators see of the gateway: gauges and the report of its state.
#include <boost/json.hpp>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::chrono::seconds capacity_gauge_interval{10}; //!< several gauges for each upstream

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

void gateway_engine::update_gauges()
{
    if (this->limits->has_limits()) {
        this->limits->update_gauges(now());
    }
    this->metrics.set_gauge("live_instances", static_cast<double>(this->peers->live_count()));
    this->metrics.set_gauge("requests_in_progress", static_cast<double>(this->core.flow_count()));
    this->metrics.set_gauge("requests_waiting", static_cast<double>(this->core.waiting_count()));
    this->metrics.set_gauge("crash_suspects", static_cast<double>(this->core.suspects().suspect_count()));
    this->metrics.set_gauge("store_era", static_cast<double>(this->view.era().value()));
    this->metrics.set_gauge("upstreams_known", static_cast<double>(this->core.upstreams().size()));
    this->metrics.set_gauge("retry_budget_instances",
                            static_cast<double>(this->core.retry_budget_instances()));
    this->metrics.set_gauge("retries_spent", static_cast<double>(this->core.retry_totals().spent));
    this->metrics.set_gauge("retries_denied", static_cast<double>(this->core.retry_totals().denied));
    this->update_confirmation_gauge();
    if (this->memory != nullptr) {
        using http::message_kind;
        this->metrics.set_gauge("body_bytes", static_cast<double>(this->memory->used_bytes()));
        this->metrics.set_gauge("body_bytes_max", static_cast<double>(this->memory->max_used_bytes()));
        this->metrics.set_gauge("bodies_rejected",
                                static_cast<double>(this->memory->rejected(message_kind::request)));
        this->metrics.set_gauge("responses_rejected",
                                static_cast<double>(this->memory->rejected(message_kind::response)));
    }
    if (this->plans != nullptr) {
        this->update_plan_gauges();
    }
    const auto time = now();
    if (this->settings.proxy.placement.learns_capacity && time >= this->next_capacity_gauge_update) {
        this->next_capacity_gauge_update = time + capacity_gauge_interval;
        this->metrics.set_capacities(this->core.learned_capacities(time));
    }
}

void gateway_engine::update_plan_gauges()
{
    const auto planner = this->plans->planner_state();
    this->metrics.set_gauge("plan_objects_known", static_cast<double>(this->plans->planned_count()));
    this->metrics.set_gauge("plan_epoch", static_cast<double>(planner.epoch));
    this->metrics.set_gauge("plan_objects", static_cast<double>(planner.objects));
    this->metrics.set_gauge("plan_moves", static_cast<double>(planner.moves));
    this->metrics.set_gauge("plan_busiest_over_mean", planner.busiest_over_mean);
}

std::string gateway_engine::status() const
{
    boost::json::object report{{"instance", this->self().id.str()},
                               {"serving", this->is_serving()},
                               {"live_instances", this->peers->live_count()},
                               {"watches_store", this->relay->watches_store()},
                               {"configuration", this->core.routes().version().value()},
                               {"upstreams", this->core.upstreams().size()},
                               {"requests_in_progress", this->flows.size()},
                               {"requests_waiting", this->core.waiting_count()},
                               {"retry_budget_instances", this->core.retry_budget_instances()}};
    boost::json::object versions;
    for (const auto& [which, version] : this->view.changed_versions()) {
        versions[store::to_string(which)] = version.revision.value();
    }
    report["store_era"] = this->view.era().value();
    report["store_has_configuration"] = this->view.has_store_caught_up();
    report["configuration_witness"] = to_string(this->view.floor().quality());
    report["store_versions"] = std::move(versions);
    return boost::json::serialize(report);
}
} // namespace buckthornhill::gateway
