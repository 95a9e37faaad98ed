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
//! Chances and sizes of one random run.
struct world_options
{
    std::uint64_t seed = 1;
    int regions = 3;
    int instances = 6;
    int upstreams_per_domain = 2;
    std::int64_t slots = 3;
    double kill_chance = 0; //!< of each fault step
    double freeze_chance = 0;
    double cut_chance = 0;
    bool cuts_upstreams = true; //!< a cut also parts instances from the upstreams of the other side
    double store_chance = 0;    //!< the store goes down or comes back
    double drain_chance = 0;    //!< an upstream starts to leave
    double stop_chance = 0;     //!< a planned stop
    double poison_chance = 0;   //!< a request that crashes its upstream, resent by its caller
    double requests_per_second = 400;
    double crowding = 0; //!< share of orders that all go to region 0
    std::chrono::milliseconds length{9000};
};

//! What went wrong in a run, by the promise that was broken.
struct world_verdict
{
    std::vector<std::string> faults;
    std::map<std::string, std::uint64_t> counts;
    std::int64_t most_shifted = 0; //!< requests of other regions in one region at once
};

//! A few nodes, upstreams, callers and a store as fakes that hand messages over at random times.
//! After each event the promises are checked.
class node_world
{
public:
    explicit node_world(const world_options& options);
    ~node_world();

    world_verdict run();

private:
    struct instance;
    struct fake_upstream;
    struct order;
    using handler = std::function<void()>;

    void at(time_point when, handler run);
    void after_delay(handler run);
    bool chance(double probability);
    std::uint64_t pick(std::uint64_t count);

    void start_instance(std::size_t index);
    //! Runs `run` on the instance now, or once it is thawed. Does nothing if that incarnation is gone.
    void on_instance(std::size_t index, std::uint64_t incarnation, const handler& run);
    void carry_out(std::size_t index);
    void carry_out(std::size_t index, const start_upstream_action& action);
    void carry_out(std::size_t index, const start_peer_action& action);
    void carry_out(std::size_t index, const cancel_action& action);
    void carry_out(std::size_t index, const response_action& action);
    void carry_out(std::size_t index, const heartbeat_action& action);
    void carry_out(std::size_t index, const fetch_document_action& action);
    void carry_out(std::size_t index, const probe_action& action);
    void carry_out(std::size_t index, const handover_action& action);
    bool is_cut(std::size_t from, std::size_t to) const;
    bool is_cut_from(std::size_t index, const region_id& region) const;
    int region_of(std::size_t index) const { return static_cast<int>(index) % this->options.regions; }
    std::size_t index_of(const instance_id& id) const;

    void arrive_at_upstream(std::size_t index, std::uint64_t incarnation, const start_upstream_action& action,
                            const std::shared_ptr<bool>& settled);
    void check_execution(const instance& slot, const fake_upstream& upstream, const std::string& order);
    void crash(fake_upstream& upstream);
    void new_order();
    void send_order(const std::shared_ptr<order>& order, std::size_t index);
    void on_order_answer(const std::shared_ptr<order>& order, const response_action& response,
                         bool is_current);
    void publish_instances();
    void publish(lists::document_name name, const std::string& body);
    void read_store(std::size_t index);
    void fault_step();
    void tick(std::size_t index, std::uint64_t incarnation);
    void check(std::size_t index);
    void check_shift_caps();
    void fault(const std::string& text);

    world_options options;
    std::mt19937_64 random;
    time_point now;
    std::multimap<time_point, handler> events;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams;
    std::map<lists::document_name, std::pair<std::uint64_t, std::string>> store;
    std::map<std::string, int> runs;                             //!< executions by order
    std::map<std::string, std::set<std::string>> poison_crashes; //!< upstreams by order
    std::set<std::string> told_not_executed;
    std::map<std::string, requests::ticket> tickets; //!< by order
    std::uint64_t last_order = 0;
    std::uint64_t last_incarnation = 1000;
    int cut_region = -1;
    bool is_store_down = false;
    world_verdict verdict;
};
} // namespace buckthornhill::node::testing
