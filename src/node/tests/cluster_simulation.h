#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node/entry_node.h"

namespace buckthornhill::node::testing {
//! Sizes and fault probabilities of one random run.
struct simulation_options
{
    std::uint64_t seed = 1;
    int regions = 3;
    int instances = 6;
    int upstreams_per_domain = 2;
    std::int64_t slots = 3;
    double kill_chance = 0; //!< per fault step
    double freeze_chance = 0;
    double partition_chance = 0;
    bool partitions_upstreams = true; //!< a partition also cuts instances off from upstreams beyond it
    double store_toggle_chance = 0;   //!< the store goes down or comes back
    double upstream_leave_chance = 0; //!< an upstream starts leaving
    double planned_stop_chance = 0;   //!< an instance starts a planned stop
    double poison_request_chance = 0; //!< a request that crashes its upstream, resent by its caller
    double requests_per_second = 400;
    double hot_region_share = 0; //!< share of orders that are all sent to region 0
    std::chrono::milliseconds run_time{9000};
};

//! Violated guarantees and event counts of one run.
struct simulation_result
{
    std::vector<std::string> violations;
    std::map<std::string, std::uint64_t> counts;
    std::int64_t max_shifted_requests = 0; //!< most requests of other regions in one region at once
};

//! Runs real nodes with a fake store, fake upstreams and fake callers; messages arrive after random delays.
//! Checks the guarantees after each event.
class cluster_simulation
{
public:
    explicit cluster_simulation(const simulation_options& options);
    ~cluster_simulation();

    simulation_result run();

private:
    struct simulated_instance;
    struct fake_upstream;
    struct caller_request;
    using event_handler = std::function<void()>;

    void schedule(time_point when, event_handler run);
    void schedule_after_delay(event_handler run);
    bool chance(double probability);
    std::uint64_t random_below(std::uint64_t count);

    void start_instance(std::size_t index);
    //! Calls `run` now, or when the instance's freeze ends. Does nothing if that incarnation has ended.
    void on_instance(std::size_t index, std::uint64_t incarnation, const event_handler& run);
    void perform(std::size_t index);
    void perform(std::size_t index, const start_upstream_action& action);
    void perform(std::size_t index, const start_peer_action& action);
    void perform(std::size_t index, const cancel_action& action);
    void perform(std::size_t index, const response_action& action);
    void perform(std::size_t index, const heartbeat_action& action);
    void perform(std::size_t index, const fetch_document_action& action);
    void perform(std::size_t index, const probe_action& action);
    void perform(std::size_t index, const handover_action& action);
    bool is_partitioned(std::size_t from, std::size_t to) const;
    bool is_upstream_partitioned(std::size_t index, const region_id& region) const;
    int region_of(std::size_t index) const { return static_cast<int>(index) % this->options.regions; }
    std::size_t index_of(const instance_id& id) const;

    void arrive_at_upstream(std::size_t index, std::uint64_t incarnation, const start_upstream_action& action,
                            const std::shared_ptr<bool>& settled);
    void check_execution(const simulated_instance& instance, const fake_upstream& upstream,
                         const std::string& request_id);
    void crash(fake_upstream& upstream);
    void create_request();
    void send_request(const std::shared_ptr<caller_request>& request, std::size_t index);
    void on_caller_response(const std::shared_ptr<caller_request>& request, const response_action& response,
                            bool is_current);
    void publish_instances();
    void publish(lists::document_name name, const std::string& body);
    void read_store(std::size_t index);
    void inject_faults();
    void tick(std::size_t index, std::uint64_t incarnation);
    void check(std::size_t index);
    void check_shift_caps();
    void report_violation(const std::string& text);

    simulation_options options;
    std::mt19937_64 random;
    time_point now;
    std::multimap<time_point, event_handler> events;
    std::vector<std::unique_ptr<simulated_instance>> instances;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams;
    std::map<lists::document_name, std::pair<std::uint64_t, std::string>> store;
    std::map<std::string, int> executions_by_request;            //!< execution count by order
    std::map<std::string, std::set<std::string>> poison_crashes; //!< crashed upstreams by order
    std::set<std::string> reported_not_executed;
    std::map<std::string, requests::ticket> tickets; //!< by order
    std::uint64_t last_request_number = 0;
    std::uint64_t last_incarnation = 1000;
    int partitioned_region = -1;
    bool is_store_down = false;
    simulation_result run_result;
};
} // namespace buckthornhill::node::testing
