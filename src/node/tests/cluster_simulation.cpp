#include "cluster_simulation.h"

#include <boost/json.hpp>

#include "lists/list_codec.h"

namespace buckthornhill::node::testing {
namespace json = boost::json;
using membership::member_state;
using requests::outcome;
using std::chrono::milliseconds;

namespace {
constexpr int max_delay_ms = 30;
constexpr milliseconds tick_interval{50};
constexpr milliseconds fault_interval{700};
constexpr milliseconds leave_grace{3000}; //!< the brief allows a few seconds
constexpr milliseconds request_timeout{1500};
const service_id test_service("orders");
const std::string instance_host = "10.0.0.1:"; //!< the port is the instance's index
} // namespace

struct cluster_simulation::simulated_instance
{
    std::unique_ptr<entry_node> node;
    membership::member_description description;
    std::uint64_t incarnation = 0; //!< 0 while down
    time_point freeze_end{};
    std::uint64_t last_flow = 0;
    lists::version_map seen_versions;
    //! Handles the response for a flow: for the caller of an order, or for the instance that forwarded it.
    std::map<std::uint64_t, std::function<void(const response_action&)>> response_handlers;
    std::map<std::uint64_t, std::string> request_of_flow;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<bool>> settled;
};

struct cluster_simulation::fake_upstream
{
    ownership::upstream_description description;
    struct execution
    {
        std::size_t index = 0;
        std::uint64_t incarnation = 0;
        flow_id flow;
        std::uint64_t attempt = 0;
        std::shared_ptr<bool> settled;
    };
    std::map<std::uint64_t, execution> running;
    std::uint64_t last_execution = 0;
    time_point outage_end{};
    time_point leaving_since{};
    bool is_leaving = false;
};

struct cluster_simulation::caller_request
{
    std::string id;
    bool is_idempotent = false;
    bool is_poison = false;
    std::optional<requests::ticket> ticket;
    fingerprint request_fingerprint;
    int send_count = 0;
    int ticket_generation = 0; //!< a caller has one live ticket for a request at a time
};

cluster_simulation::cluster_simulation(const simulation_options& requested_options)
    : options(requested_options)
    , random(requested_options.seed)
    , now(time_point{} + std::chrono::hours(1))
{
    const int domains = this->options.regions * 2;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < this->options.upstreams_per_domain; ++i) {
            auto upstream = std::make_unique<fake_upstream>();
            auto& description = upstream->description;
            description.id = upstream_id("u" + std::to_string(domain) + "-" + std::to_string(i));
            description.service = test_service;
            description.region = region_id("r" + std::to_string(domain % this->options.regions));
            description.domain = domain_id("d" + std::to_string(domain));
            description.address = "10.1.0.1:" + std::to_string(1 + this->upstreams.size());
            description.slots = slot_count(this->options.slots);
            this->upstreams.emplace(description.id.str(), std::move(upstream));
        }
    }
    for (int i = 0; i < this->options.instances; ++i) {
        this->instances.push_back(std::make_unique<simulated_instance>());
    }
    this->publish(lists::document_name::plans, R"({"plans":[],"customers":[],"calls":[]})");
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->start_instance(i);
    }
    this->publish_instances();
}

cluster_simulation::~cluster_simulation() = default;

void cluster_simulation::schedule(time_point when, event_handler run)
{
    this->events.emplace(when, std::move(run));
}

void cluster_simulation::schedule_after_delay(event_handler run)
{
    this->schedule(this->now + milliseconds(1 + this->random_below(max_delay_ms)), std::move(run));
}

bool cluster_simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

std::uint64_t cluster_simulation::random_below(std::uint64_t count)
{
    return this->random() % count;
}

void cluster_simulation::report_violation(const std::string& text)
{
    if (this->run_result.violations.size() < 5) {
        const auto elapsed = to_milliseconds(this->now - (time_point{} + std::chrono::hours(1)));
        this->run_result.violations.push_back("at " + std::to_string(elapsed) + " ms: " + text);
    }
}

void cluster_simulation::start_instance(std::size_t index)
{
    auto& instance = *this->instances[index];
    instance = simulated_instance{};
    instance.incarnation = ++this->last_incarnation;
    auto& self = instance.description;
    self.id = instance_id("e" + std::to_string(index));
    self.incarnation = incarnation_id(instance.incarnation);
    self.region = region_id("r" + std::to_string(this->region_of(index)));
    self.domain = domain_id("d" + std::to_string(static_cast<int>(index) % (this->options.regions * 2)));
    self.peer_address = instance_host + std::to_string(index);
    self.caller_address = self.peer_address;
    node_configuration configuration;
    configuration.requests.ticket_window = 1U << 14;
    instance.node = std::make_unique<entry_node>(self, configuration, [this] { return this->random(); });
    std::vector<membership::member_description> seeds;
    for (const auto& other : this->instances) {
        if (other->node && other.get() != &instance) {
            auto seed = other->description;
            seed.incarnation = incarnation_id(0);
            seeds.push_back(seed);
        }
    }
    instance.node->on_seed_peers(this->now, seeds);
    this->tick(index, instance.incarnation);
    this->read_store(index);
}

void cluster_simulation::on_instance(std::size_t index, std::uint64_t incarnation, const event_handler& run)
{
    auto& instance = *this->instances[index];
    if (instance.incarnation != incarnation) {
        return;
    }
    if (this->now < instance.freeze_end) {
        this->schedule(instance.freeze_end,
                       [this, index, incarnation, run] { this->on_instance(index, incarnation, run); });
        return;
    }
    run();
    this->perform(index);
    this->check(index);
}

void cluster_simulation::tick(std::size_t index, std::uint64_t incarnation)
{
    this->schedule(this->now + tick_interval, [this, index, incarnation] {
        this->on_instance(index, incarnation, [this, index, incarnation] {
            auto& instance = *this->instances[index];
            instance.node->on_tick(this->now);
            if (!instance.node->is_stopped()) {
                this->tick(index, incarnation);
            }
        });
    });
}

void cluster_simulation::perform(std::size_t index)
{
    auto& instance = *this->instances[index];
    for (const auto& chosen : instance.node->take_actions()) {
        std::visit([this, index](const auto& action) { this->perform(index, action); }, chosen);
    }
    if (instance.node->is_stopped() && instance.incarnation != 0) {
        instance.incarnation = 0;
        ++this->run_result.counts["planned stops"];
        this->schedule(this->now + milliseconds(500), [this, index] { this->start_instance(index); });
    }
}

bool cluster_simulation::is_partitioned(std::size_t from, std::size_t to) const
{
    const bool is_from_inside = this->region_of(from) == this->partitioned_region;
    const bool is_to_inside = this->region_of(to) == this->partitioned_region;
    return is_from_inside != is_to_inside;
}

bool cluster_simulation::is_upstream_partitioned(std::size_t index, const region_id& region) const
{
    if (this->partitioned_region < 0 || !this->options.partitions_upstreams) {
        return false;
    }
    const region_id partitioned("r" + std::to_string(this->partitioned_region));
    return (this->instances[index]->description.region == partitioned) != (region == partitioned);
}

std::size_t cluster_simulation::index_of(const instance_id& id) const
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1)));
}

void cluster_simulation::perform(std::size_t index, const start_upstream_action& action)
{
    auto settled = std::make_shared<bool>(false);
    auto& instance = *this->instances[index];
    const auto incarnation = instance.incarnation;
    instance.settled[{action.flow.value(), action.attempt}] = settled;
    if (action.deadline < this->now) {
        this->report_violation("a request was sent to an upstream after its deadline");
    }
    this->schedule_after_delay([this, index, incarnation, action, settled] {
        this->arrive_at_upstream(index, incarnation, action, settled);
    });
    this->schedule(action.deadline, [this, index, incarnation, action, settled] {
        if (*settled) {
            return;
        }
        *settled = true;
        this->on_instance(index, incarnation, [this, index, action] {
            this->instances[index]->node->on_upstream_result(
                this->now, action.flow, action.attempt, action.upstream,
                {attempt_status::timed_out, false, false, -1, nullptr});
        });
    });
}

void cluster_simulation::check_execution(const simulated_instance& instance, const fake_upstream& upstream,
                                         const std::string& request_id)
{
    const auto id = upstream.description.id.str();
    ++this->run_result.counts["runs"];
    const bool is_late = upstream.is_leaving && this->now - upstream.leaving_since > leave_grace;
    if (is_late && this->now >= instance.freeze_end) {
        this->report_violation("upstream " + id + " received a new request after its leave grace ended");
    }
    if (upstream.description.region != instance.description.region) {
        ++this->run_result.counts["runs by an owner in another region"];
    }
    if (request_id.starts_with("once-")) {
        if (++this->executions_by_request[request_id] > 1) {
            this->report_violation("order " + request_id + " was executed twice");
        }
        if (this->reported_not_executed.contains(request_id)) {
            this->report_violation("order " + request_id +
                                   " was executed after its caller was told that it was not executed");
        }
    }
    if (request_id.starts_with("poison-")) {
        auto& crashed = this->poison_crashes[request_id];
        crashed.insert(id);
        if (crashed.size() > 2) {
            this->report_violation("one request crashed more than two upstreams");
        }
    }
}

void cluster_simulation::arrive_at_upstream(std::size_t index, std::uint64_t incarnation,
                                            const start_upstream_action& action,
                                            const std::shared_ptr<bool>& settled)
{
    auto& upstream = *this->upstreams.at(action.upstream.str());
    const auto region = upstream.description.region;
    const auto report = [this, index, incarnation, action, settled, region](const upstream_result& result) {
        this->schedule_after_delay([this, index, incarnation, action, settled, result, region] {
            const bool is_lost =
                result.status == attempt_status::complete && this->is_upstream_partitioned(index, region);
            if (*settled || is_lost) {
                return;
            }
            this->on_instance(index, incarnation, [this, index, action, settled, result] {
                if (!std::exchange(*settled, true)) {
                    this->instances[index]->node->on_upstream_result(this->now, action.flow, action.attempt,
                                                                     action.upstream, result);
                }
            });
        });
    };
    const bool is_unreachable = this->is_upstream_partitioned(index, upstream.description.region);
    const auto in_use = static_cast<std::int64_t>(upstream.running.size());
    if (this->now < upstream.outage_end || is_unreachable) {
        report({attempt_status::connect_failed, false, false, -1, nullptr});
        return;
    }
    if (in_use >= upstream.description.slots.value()) {
        ++this->run_result.counts["sheds"];
        report({attempt_status::complete, true, upstream.is_leaving, in_use, nullptr});
        return;
    }
    auto& instance = *this->instances[index];
    const auto request_id = instance.request_of_flow[action.flow.value()];
    this->check_execution(instance, upstream, request_id);
    const auto execution = ++upstream.last_execution;
    upstream.running[execution] = {index, incarnation, action.flow, action.attempt, settled};
    if (request_id.starts_with("poison-")) {
        this->crash(upstream);
        return;
    }
    const auto service_time = milliseconds(5 + this->random_below(60));
    this->schedule(this->now + service_time, [&upstream, execution, report, request_id] {
        if (upstream.running.erase(execution) == 0) {
            return;
        }
        requests::response_ptr upstream_response(new requests::response_record);
        upstream_response->body = request_id;
        report({attempt_status::complete, false, upstream.is_leaving,
                static_cast<std::int64_t>(upstream.running.size()), upstream_response});
    });
}

void cluster_simulation::crash(fake_upstream& upstream)
{
    ++this->run_result.counts["crashes"];
    const auto lost = std::exchange(upstream.running, {});
    upstream.outage_end = this->now + milliseconds(300);
    for (const auto& [number, execution] : lost) {
        this->schedule_after_delay([this, execution = execution, id = upstream.description.id] {
            this->on_instance(execution.index, execution.incarnation, [this, execution, id] {
                if (!std::exchange(*execution.settled, true)) {
                    this->instances[execution.index]->node->on_upstream_result(
                        this->now, execution.flow, execution.attempt, id,
                        {attempt_status::broken, false, false, -1, nullptr});
                }
            });
        });
    }
}

void cluster_simulation::perform(std::size_t index, const start_peer_action& action)
{
    auto settled = std::make_shared<bool>(false);
    auto& instance = *this->instances[index];
    const auto incarnation = instance.incarnation;
    const auto target = this->index_of(action.peer);
    const auto request_id = instance.request_of_flow[action.flow.value()];
    const auto forwarder_region = instance.description.region;
    const auto from = instance.description.id;
    instance.settled[{action.flow.value(), action.attempt}] = settled;
    const auto report = [this, index, incarnation, action, settled](const peer_result& result) {
        this->on_instance(index, incarnation, [this, index, action, settled, result] {
            if (!std::exchange(*settled, true)) {
                this->instances[index]->node->on_peer_result(this->now, action.flow, action.attempt, result);
            }
        });
    };
    this->schedule(action.deadline, [report] {
        report({attempt_status::timed_out, outcome::unknown, {}, {}, nullptr, {}, {}});
    });
    if (this->is_partitioned(index, target)) {
        return;
    }
    this->schedule_after_delay([this, index, target, action, report, request_id, from, forwarder_region] {
        auto& peer = *this->instances[target];
        if (peer.incarnation == 0) {
            report({attempt_status::connect_failed, outcome::unknown, {}, {}, nullptr, {}, {}});
            return;
        }
        this->on_instance(target, peer.incarnation, [=, this] {
            auto& receiver = *this->instances[target];
            request_facts facts;
            facts.flow = flow_id(++receiver.last_flow);
            facts.service = test_service;
            facts.is_idempotent = request_id.starts_with("look-");
            facts.deadline = action.deadline;
            facts.request_fingerprint = fingerprint(std::hash<std::string>{}(request_id));
            receiver.request_of_flow[facts.flow.value()] = request_id;
            receiver.response_handlers[facts.flow.value()] = [this, report, index,
                                                              target](const response_action& response) {
                if (this->is_partitioned(index, target)) {
                    return;
                }
                this->schedule_after_delay([report, response] {
                    report({attempt_status::complete, response.result, response.reason, response.retry_after,
                            response.upstream_response, response.tickets, response.report});
                });
            };
            if (action.kind == peer_request_kind::resend) {
                facts.ticket = this->tickets.at(request_id);
                facts.is_forwarded_resend = true;
                receiver.node->on_caller_request(this->now, facts);
            } else {
                receiver.node->on_forwarded_request(this->now, facts,
                                                    {from, forwarder_region, action.priority});
            }
        });
    });
}

void cluster_simulation::perform(std::size_t index, const cancel_action& action)
{
    const auto found = this->instances[index]->settled.find({action.flow.value(), action.attempt});
    if (found != this->instances[index]->settled.end()) {
        *found->second = true;
    }
}

void cluster_simulation::perform(std::size_t index, const response_action& action)
{
    auto& instance = *this->instances[index];
    const auto found = instance.response_handlers.extract(action.flow.value());
    if (!found.empty()) {
        found.mapped()(action);
    }
    instance.request_of_flow.erase(action.flow.value());
}

void cluster_simulation::perform(std::size_t index, const heartbeat_action& action)
{
    const auto target = this->index_of(action.peer);
    if (this->is_partitioned(index, target)) {
        return;
    }
    const auto incarnation = this->instances[index]->incarnation;
    this->schedule_after_delay([this, index, target, incarnation, action] {
        const auto peer_incarnation = this->instances[target]->incarnation;
        if (peer_incarnation == 0) {
            return;
        }
        this->on_instance(target, peer_incarnation, [this, index, target, incarnation, action] {
            const auto response = this->instances[target]->node->on_heartbeat(this->now, action.message);
            if (this->is_partitioned(index, target)) {
                return;
            }
            this->schedule_after_delay([this, index, incarnation, response] {
                this->on_instance(index, incarnation, [this, index, response] {
                    this->instances[index]->node->on_heartbeat_response(this->now, response);
                });
            });
        });
    });
}

void cluster_simulation::perform(std::size_t index, const fetch_document_action& action)
{
    const auto target = static_cast<std::size_t>(std::stoul(action.address.substr(instance_host.size())));
    const auto incarnation = this->instances[index]->incarnation;
    if (this->is_partitioned(index, target) || this->instances[target]->incarnation == 0) {
        return;
    }
    const auto& lists = this->instances[target]->node->components().lists;
    const auto version = lists.version_of(action.name);
    const auto body = lists.body_of(action.name);
    this->schedule_after_delay([this, index, incarnation, action, version, body] {
        this->on_instance(index, incarnation, [this, index, action, version, body] {
            this->instances[index]->node->on_document(this->now, action.name, version, body);
        });
    });
}

void cluster_simulation::perform(std::size_t index, const probe_action& action)
{
    const auto incarnation = this->instances[index]->incarnation;
    this->schedule_after_delay([this, index, incarnation, action] {
        const auto& upstream = *this->upstreams.at(action.upstream.str());
        const bool is_reachable = !this->is_upstream_partitioned(index, upstream.description.region);
        const probe_result result{is_reachable && this->now >= upstream.outage_end, upstream.is_leaving,
                                  static_cast<std::int64_t>(upstream.running.size())};
        this->on_instance(index, incarnation, [this, index, action, result] {
            this->instances[index]->node->on_probe_result(this->now, action.upstream, result);
        });
    });
}

void cluster_simulation::perform(std::size_t index, const handover_action& action)
{
    const auto target = this->index_of(action.peer);
    const auto incarnation = this->instances[index]->incarnation;
    if (this->is_partitioned(index, target)) {
        return;
    }
    this->schedule_after_delay([this, index, target, incarnation, action] {
        const auto peer_incarnation = this->instances[target]->incarnation;
        if (peer_incarnation == 0) {
            return;
        }
        this->on_instance(target, peer_incarnation, [this, index, target, incarnation, action] {
            this->instances[target]->node->on_handover(action.handover);
            this->schedule_after_delay([this, index, incarnation] {
                this->on_instance(index, incarnation, [this, index] {
                    this->instances[index]->node->on_handover_response(true);
                });
            });
        });
    });
}

void cluster_simulation::publish(lists::document_name name, const std::string& body)
{
    auto& [version, stored] = this->store[name];
    ++version;
    stored = body;
}

void cluster_simulation::publish_instances()
{
    json::array entries;
    for (const auto& instance : this->instances) {
        const auto& self = instance->description;
        entries.push_back({{"id", self.id.str()},
                           {"region", self.region.str()},
                           {"domain", self.domain.str()},
                           {"peer_address", self.peer_address},
                           {"caller_address", self.caller_address}});
    }
    json::array list;
    for (const auto& [id, upstream] : this->upstreams) {
        const auto& description = upstream->description;
        list.push_back({{"id", id},
                        {"service", description.service.str()},
                        {"region", description.region.str()},
                        {"domain", description.domain.str()},
                        {"address", description.address},
                        {"slots", description.slots.value()},
                        {"state", upstream->is_leaving ? "leaving" : "live"}});
    }
    this->publish(
        lists::document_name::instances,
        json::serialize(json::value{{"entries", std::move(entries)}, {"upstreams", std::move(list)}}));
}

void cluster_simulation::read_store(std::size_t index)
{
    const auto incarnation = this->instances[index]->incarnation;
    this->schedule(this->now + milliseconds(200 + this->random_below(200)), [this, index, incarnation] {
        if (this->instances[index]->incarnation != incarnation) {
            return;
        }
        this->read_store(index);
        if (this->is_store_down) {
            return;
        }
        this->on_instance(index, incarnation, [this, index] {
            auto& node = *this->instances[index]->node;
            for (const auto& [name, stored] : this->store) {
                node.on_document(this->now, name, object_version(stored.first), stored.second);
            }
            node.on_store_confirmed(this->now);
        });
    });
}

void cluster_simulation::create_request()
{
    const auto gap = std::exponential_distribution<double>(this->options.requests_per_second)(this->random);
    this->schedule(this->now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)),
                   [this] { this->create_request(); });
    auto request = std::make_shared<caller_request>();
    request->is_idempotent = this->chance(0.4);
    request->is_poison = this->poison_crashes.empty() && this->chance(this->options.poison_request_chance);
    const auto number = std::to_string(++this->last_request_number);
    request->id = (request->is_poison ? "poison-" : request->is_idempotent ? "look-" : "once-") + number;
    request->is_idempotent = request->is_idempotent && !request->is_poison;
    request->request_fingerprint = fingerprint(std::hash<std::string>{}(request->id));
    const bool is_crowded = this->chance(this->options.hot_region_share);
    const auto regions = static_cast<std::size_t>(this->options.regions);
    const auto lookup_instance = is_crowded ? regions * this->random_below(this->instances.size() / regions)
                                            : this->random_below(this->instances.size());
    auto& instance = *this->instances[lookup_instance];
    if (instance.incarnation == 0 || this->now < instance.freeze_end) {
        return;
    }
    const auto response = instance.node->look_up(this->now, test_service, instance.description.region,
                                                 request->is_idempotent ? 0 : 4);
    if (response.entries.empty()) {
        return;
    }
    if (response.tickets.count > 0) {
        request->ticket = requests::ticket{response.tickets.incarnation, response.tickets.first};
    }
    this->send_request(request, this->index_of(response.entries.front().id));
}

void cluster_simulation::send_request(const std::shared_ptr<caller_request>& request, std::size_t index)
{
    ++request->send_count;
    if (request->ticket) {
        this->tickets[request->id] = *request->ticket;
    }
    this->schedule_after_delay([this, request, index] {
        const auto incarnation = this->instances[index]->incarnation;
        if (incarnation == 0) {
            return;
        }
        this->on_instance(index, incarnation, [this, request, index] {
            auto& instance = *this->instances[index];
            request_facts facts;
            facts.flow = flow_id(++instance.last_flow);
            facts.service = test_service;
            facts.is_idempotent = request->is_idempotent;
            facts.deadline = this->now + request_timeout;
            facts.request_fingerprint = request->request_fingerprint;
            facts.affinity = request->request_fingerprint.high_bits();
            facts.ticket = request->ticket;
            instance.request_of_flow[facts.flow.value()] = request->id;
            instance.response_handlers[facts.flow.value()] =
                [this, request, sent_as = request->ticket_generation](const response_action& response) {
                    this->on_caller_response(request, response, sent_as == request->ticket_generation);
                };
            instance.node->on_caller_request(this->now, facts);
        });
    });
    //! NOTE A caller may resend the same request, to the same or another instance, without waiting
    //! for a response.
    if (request->send_count < 4 && (this->chance(0.15) || request->is_poison)) {
        const auto sent_as = request->ticket_generation;
        this->schedule(
            this->now + milliseconds(50 + this->random_below(1500)), [this, request, index, sent_as] {
                if (sent_as != request->ticket_generation) {
                    return;
                }
                const auto other = this->chance(0.5) ? index : this->random_below(this->instances.size());
                this->send_request(request, other);
            });
    }
}

void cluster_simulation::on_caller_response(const std::shared_ptr<caller_request>& request,
                                            const response_action& response, bool is_current)
{
    ++this->run_result.counts[std::string(requests::to_string(response.result))];
    if (response.result == outcome::not_executed) {
        ++this->run_result.counts["not-executed, " + std::string(admission::to_string(response.reason))];
    }
    if (response.upstream_response && response.upstream_response->body != request->id) {
        this->report_violation("order " + request->id + " received the response of " +
                               response.upstream_response->body);
    }
    if (response.result == outcome::not_executed && request->id.starts_with("once-") && request->ticket) {
        this->reported_not_executed.insert(request->id);
        if (this->executions_by_request.contains(request->id)) {
            this->report_violation("the caller of " + request->id +
                                   " was told that it was not executed, but it was");
        }
    }
    if (request->is_poison && is_current && request->send_count < 8 && response.tickets.count > 0) {
        ++request->ticket_generation;
        request->ticket = requests::ticket{response.tickets.incarnation, response.tickets.first};
        this->send_request(request, this->random_below(this->instances.size()));
    }
}

void cluster_simulation::inject_faults()
{
    this->schedule(this->now + fault_interval, [this] { this->inject_faults(); });
    const auto index = this->random_below(this->instances.size());
    auto& instance = *this->instances[index];
    const bool is_up = instance.incarnation != 0 && this->now >= instance.freeze_end;
    if (is_up && this->chance(this->options.kill_chance)) {
        ++this->run_result.counts["kills"];
        instance.incarnation = 0;
        this->schedule(this->now + milliseconds(300 + this->random_below(2000)),
                       [this, index] { this->start_instance(index); });
    } else if (is_up && this->chance(this->options.freeze_chance)) {
        ++this->run_result.counts["freezes"];
        instance.freeze_end = this->now + milliseconds(500 + this->random_below(6000));
    } else if (is_up && this->chance(this->options.planned_stop_chance)) {
        instance.node->begin_leave(this->now);
        this->perform(index);
    }
    if (this->chance(this->options.partition_chance)) {
        this->partitioned_region =
            this->partitioned_region >= 0 ? -1 : static_cast<int>(this->random_below(this->options.regions));
        ++this->run_result.counts["cuts"];
    }
    if (this->chance(this->options.store_toggle_chance)) {
        this->is_store_down = !this->is_store_down;
    }
    if (this->chance(this->options.upstream_leave_chance)) {
        auto chosen = this->upstreams.begin();
        std::advance(chosen, this->random_below(this->upstreams.size()));
        if (!chosen->second->is_leaving) {
            chosen->second->is_leaving = true;
            chosen->second->leaving_since = this->now;
            this->publish_instances();
            ++this->run_result.counts["drains"];
        }
    }
}

void cluster_simulation::check(std::size_t index)
{
    auto& instance = *this->instances[index];
    if (instance.incarnation == 0) {
        return;
    }
    auto& components = instance.node->components();
    for (const auto& [service, admission] : components.admission.services()) {
        for (const auto& [id, upstream] : admission.upstreams()) {
            if (upstream.in_flight() > upstream.description().slots.value()) {
                this->report_violation("owner " + instance.description.id.str() + " exceeds the slots of " +
                                       id.str());
            }
        }
    }
    this->check_shift_caps();
    for (const auto& [name, version] : components.lists.versions()) {
        if (version < instance.seen_versions[name]) {
            this->report_violation("a list version decreased at " + instance.description.id.str());
        }
        instance.seen_versions[name] = version;
    }
}

void cluster_simulation::check_shift_caps()
{
    std::map<int, std::int64_t> shifted;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const auto& instance = *this->instances[i];
        auto* admission =
            instance.incarnation == 0 ? nullptr : instance.node->components().admission.find(test_service);
        shifted[this->region_of(i)] += admission == nullptr ? 0 : admission->remote_in_flight();
    }
    const auto region_slots = std::int64_t{2} * this->options.upstreams_per_domain * this->options.slots;
    const auto cap = static_cast<std::int64_t>(shift::shift_configuration{}.cap_fraction *
                                               static_cast<double>(region_slots));
    for (const auto& [region, in_flight] : shifted) {
        this->run_result.max_shifted_requests = std::max(this->run_result.max_shifted_requests, in_flight);
        if (in_flight > cap) {
            this->report_violation("region " + std::to_string(region) + " runs " + std::to_string(in_flight) +
                                   " shifted requests, above the cap of " + std::to_string(cap));
        }
    }
}

simulation_result cluster_simulation::run()
{
    const auto end = this->now + this->options.run_time;
    this->schedule(this->now + milliseconds(2500), [this] { this->create_request(); });
    this->schedule(this->now + milliseconds(3000), [this] { this->inject_faults(); });
    while (!this->events.empty() && this->run_result.violations.empty()) {
        const auto next = this->events.begin();
        if (next->first > end) {
            break;
        }
        this->now = std::max(this->now, next->first);
        const auto run = std::move(next->second);
        this->events.erase(next);
        run();
    }
    return this->run_result;
}
} // namespace buckthornhill::node::testing
