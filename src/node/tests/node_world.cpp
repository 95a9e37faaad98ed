#include "node_world.h"

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
constexpr milliseconds leave_grace{3000}; //!< from the brief: a few seconds
constexpr milliseconds order_deadline{1500};
const service_id the_service("orders");
} // namespace

struct node_world::instance
{
    std::unique_ptr<entry_node> node;
    membership::member_description description;
    std::uint64_t incarnation = 0; //!< 0 while down
    time_point frozen_until{};
    std::uint64_t last_flow = 0;
    lists::version_map seen_versions;
    //! What an answer for a flow means: to a caller's order or back to another instance.
    std::map<std::uint64_t, std::function<void(const response_action&)>> answers;
    std::map<std::uint64_t, std::string> order_of_flow;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<bool>> settled;
};

struct node_world::fake_upstream
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
    time_point down_until{};
    time_point leaving_since{};
    bool is_leaving = false;
};

struct node_world::order
{
    std::string id;
    bool is_idempotent = false;
    bool is_poison = false;
    std::optional<requests::ticket> name;
    fingerprint request_fingerprint;
    int sends = 0;
    int ticket_generation = 0; //!< a caller has one live ticket for a request at a time
};

node_world::node_world(const world_options& wanted)
    : options(wanted)
    , random(wanted.seed)
    , now(time_point{} + std::chrono::hours(1))
{
    const int domains = this->options.regions * 2;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < this->options.upstreams_per_domain; ++i) {
            auto upstream = std::make_unique<fake_upstream>();
            auto& description = upstream->description;
            description.id = upstream_id("u" + std::to_string(domain) + "-" + std::to_string(i));
            description.service = the_service;
            description.region = region_id("r" + std::to_string(domain % this->options.regions));
            description.domain = domain_id("d" + std::to_string(domain));
            description.address = description.id.str();
            description.slots = slot_count(this->options.slots);
            this->upstreams.emplace(description.id.str(), std::move(upstream));
        }
    }
    for (int i = 0; i < this->options.instances; ++i) {
        this->instances.push_back(std::make_unique<instance>());
    }
    this->publish(lists::document_name::plans, R"({"plans":[],"customers":[],"calls":[]})");
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->start_instance(i);
    }
    this->publish_instances();
}

node_world::~node_world() = default;

void node_world::at(time_point when, handler run)
{
    this->events.emplace(when, std::move(run));
}

void node_world::after_delay(handler run)
{
    this->at(this->now + milliseconds(1 + this->pick(max_delay_ms)), std::move(run));
}

bool node_world::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

std::uint64_t node_world::pick(std::uint64_t count)
{
    return this->random() % count;
}

void node_world::fault(const std::string& text)
{
    if (this->verdict.faults.size() < 5) {
        const auto elapsed = to_milliseconds(this->now - (time_point{} + std::chrono::hours(1)));
        this->verdict.faults.push_back("at " + std::to_string(elapsed) + " ms: " + text);
    }
}

void node_world::start_instance(std::size_t index)
{
    auto& slot = *this->instances[index];
    slot = instance{};
    slot.incarnation = ++this->last_incarnation;
    auto& self = slot.description;
    self.id = instance_id("e" + std::to_string(index));
    self.incarnation = incarnation_id(slot.incarnation);
    self.region = region_id("r" + std::to_string(this->region_of(index)));
    self.domain = domain_id("d" + std::to_string(static_cast<int>(index) % (this->options.regions * 2)));
    self.peer_address = self.id.str();
    self.caller_address = self.id.str();
    node_configuration configuration;
    configuration.requests.ticket_window = 1U << 14;
    slot.node = std::make_unique<entry_node>(self, configuration, [this] { return this->random(); });
    std::vector<membership::member_description> seeds;
    for (const auto& other : this->instances) {
        if (other->node && other.get() != &slot) {
            auto seed = other->description;
            seed.incarnation = incarnation_id(0);
            seeds.push_back(seed);
        }
    }
    slot.node->on_seed_peers(this->now, seeds);
    this->tick(index, slot.incarnation);
    this->read_store(index);
}

void node_world::on_instance(std::size_t index, std::uint64_t incarnation, const handler& run)
{
    auto& slot = *this->instances[index];
    if (slot.incarnation != incarnation) {
        return;
    }
    if (this->now < slot.frozen_until) {
        this->at(slot.frozen_until,
                 [this, index, incarnation, run] { this->on_instance(index, incarnation, run); });
        return;
    }
    run();
    this->carry_out(index);
    this->check(index);
}

void node_world::tick(std::size_t index, std::uint64_t incarnation)
{
    this->at(this->now + tick_interval, [this, index, incarnation] {
        this->on_instance(index, incarnation, [this, index, incarnation] {
            auto& slot = *this->instances[index];
            slot.node->on_tick(this->now);
            if (!slot.node->is_stopped()) {
                this->tick(index, incarnation);
            }
        });
    });
}

void node_world::carry_out(std::size_t index)
{
    auto& slot = *this->instances[index];
    for (const auto& chosen : slot.node->take_actions()) {
        std::visit([this, index](const auto& action) { this->carry_out(index, action); }, chosen);
    }
    if (slot.node->is_stopped() && slot.incarnation != 0) {
        slot.incarnation = 0;
        ++this->verdict.counts["planned stops"];
        this->at(this->now + milliseconds(500), [this, index] { this->start_instance(index); });
    }
}

bool node_world::is_cut(std::size_t from, std::size_t to) const
{
    const bool is_from_inside = this->region_of(from) == this->cut_region;
    const bool is_to_inside = this->region_of(to) == this->cut_region;
    return is_from_inside != is_to_inside;
}

bool node_world::is_cut_from(std::size_t index, const region_id& region) const
{
    if (this->cut_region < 0 || !this->options.cuts_upstreams) {
        return false;
    }
    const region_id cut("r" + std::to_string(this->cut_region));
    return (this->instances[index]->description.region == cut) != (region == cut);
}

std::size_t node_world::index_of(const instance_id& id) const
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1)));
}

void node_world::carry_out(std::size_t index, const start_upstream_action& action)
{
    auto settled = std::make_shared<bool>(false);
    auto& slot = *this->instances[index];
    const auto incarnation = slot.incarnation;
    slot.settled[{action.flow.value(), action.attempt}] = settled;
    if (action.deadline < this->now) {
        this->fault("work was sent after its deadline");
    }
    this->after_delay([this, index, incarnation, action, settled] {
        this->arrive_at_upstream(index, incarnation, action, settled);
    });
    this->at(action.deadline, [this, index, incarnation, action, settled] {
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

void node_world::check_execution(const instance& slot, const fake_upstream& upstream,
                                 const std::string& order)
{
    const auto id = upstream.description.id.str();
    ++this->verdict.counts["runs"];
    const bool is_late = upstream.is_leaving && this->now - upstream.leaving_since > leave_grace;
    if (is_late && this->now >= slot.frozen_until) {
        this->fault("upstream " + id + " is leaving and got new work");
    }
    if (upstream.description.region != slot.description.region) {
        ++this->verdict.counts["runs by an owner in another region"];
    }
    if (order.starts_with("once-")) {
        if (++this->runs[order] > 1) {
            this->fault("order " + order + " ran twice");
        }
        if (this->told_not_executed.contains(order)) {
            this->fault("order " + order + " ran after its caller was told that it was not run");
        }
    }
    if (order.starts_with("poison-")) {
        auto& crashed = this->poison_crashes[order];
        crashed.insert(id);
        if (crashed.size() > 2) {
            this->fault("one request crashed more than two upstreams");
        }
    }
}

void node_world::arrive_at_upstream(std::size_t index, std::uint64_t incarnation,
                                    const start_upstream_action& action, const std::shared_ptr<bool>& settled)
{
    auto& upstream = *this->upstreams.at(action.upstream.str());
    const auto region = upstream.description.region;
    const auto report = [this, index, incarnation, action, settled, region](const upstream_result& result) {
        this->after_delay([this, index, incarnation, action, settled, result, region] {
            const bool is_lost =
                result.status == attempt_status::complete && this->is_cut_from(index, region);
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
    const bool is_unreachable = this->is_cut_from(index, upstream.description.region);
    const auto in_use = static_cast<std::int64_t>(upstream.running.size());
    if (this->now < upstream.down_until || is_unreachable) {
        report({attempt_status::connect_failed, false, false, -1, nullptr});
        return;
    }
    if (in_use >= upstream.description.slots.value()) {
        ++this->verdict.counts["sheds"];
        report({attempt_status::complete, true, upstream.is_leaving, in_use, nullptr});
        return;
    }
    auto& slot = *this->instances[index];
    const auto order = slot.order_of_flow[action.flow.value()];
    this->check_execution(slot, upstream, order);
    const auto execution = ++upstream.last_execution;
    upstream.running[execution] = {index, incarnation, action.flow, action.attempt, settled};
    if (order.starts_with("poison-")) {
        this->crash(upstream);
        return;
    }
    const auto takes = milliseconds(5 + this->pick(60));
    this->at(this->now + takes, [&upstream, execution, report, order] {
        if (upstream.running.erase(execution) == 0) {
            return;
        }
        requests::answer_ptr upstream_response(new requests::answer_record);
        upstream_response->body = order;
        report({attempt_status::complete, false, upstream.is_leaving,
                static_cast<std::int64_t>(upstream.running.size()), upstream_response});
    });
}

void node_world::crash(fake_upstream& upstream)
{
    ++this->verdict.counts["crashes"];
    const auto lost = std::exchange(upstream.running, {});
    upstream.down_until = this->now + milliseconds(300);
    for (const auto& [number, run] : lost) {
        this->after_delay([this, run = run, id = upstream.description.id] {
            this->on_instance(run.index, run.incarnation, [this, run, id] {
                if (!std::exchange(*run.settled, true)) {
                    this->instances[run.index]->node->on_upstream_result(
                        this->now, run.flow, run.attempt, id,
                        {attempt_status::broken, false, false, -1, nullptr});
                }
            });
        });
    }
}

void node_world::carry_out(std::size_t index, const start_peer_action& action)
{
    auto settled = std::make_shared<bool>(false);
    auto& slot = *this->instances[index];
    const auto incarnation = slot.incarnation;
    const auto target = this->index_of(action.peer);
    const auto order = slot.order_of_flow[action.flow.value()];
    const auto forwarder_region = slot.description.region;
    const auto from = slot.description.id;
    slot.settled[{action.flow.value(), action.attempt}] = settled;
    const auto report = [this, index, incarnation, action, settled](const peer_result& result) {
        this->on_instance(index, incarnation, [this, index, action, settled, result] {
            if (!std::exchange(*settled, true)) {
                this->instances[index]->node->on_peer_result(this->now, action.flow, action.attempt, result);
            }
        });
    };
    this->at(action.deadline, [report] {
        report({attempt_status::timed_out, outcome::unknown, {}, {}, nullptr, {}, {}});
    });
    if (this->is_cut(index, target)) {
        return;
    }
    this->after_delay([this, index, target, action, report, order, from, forwarder_region] {
        auto& peer = *this->instances[target];
        if (peer.incarnation == 0) {
            report({attempt_status::connect_failed, outcome::unknown, {}, {}, nullptr, {}, {}});
            return;
        }
        this->on_instance(target, peer.incarnation, [=, this] {
            auto& receiver = *this->instances[target];
            request_facts facts;
            facts.flow = flow_id(++receiver.last_flow);
            facts.service = the_service;
            facts.is_idempotent = order.starts_with("look-");
            facts.deadline = action.deadline;
            facts.request_fingerprint = fingerprint(std::hash<std::string>{}(order));
            receiver.order_of_flow[facts.flow.value()] = order;
            receiver.answers[facts.flow.value()] = [this, report, index,
                                                    target](const response_action& response) {
                if (this->is_cut(index, target)) {
                    return;
                }
                this->after_delay([report, response] {
                    report({attempt_status::complete, response.result, response.reason, response.retry_after,
                            response.upstream_response, response.tickets, response.report});
                });
            };
            if (action.kind == peer_request_kind::resend) {
                facts.ticket = this->tickets.at(order);
                facts.is_forwarded_resend = true;
                receiver.node->on_caller_request(this->now, facts);
            } else {
                receiver.node->on_forwarded_request(this->now, facts,
                                                    {from, forwarder_region, action.priority});
            }
        });
    });
}

void node_world::carry_out(std::size_t index, const cancel_action& action)
{
    const auto found = this->instances[index]->settled.find({action.flow.value(), action.attempt});
    if (found != this->instances[index]->settled.end()) {
        *found->second = true;
    }
}

void node_world::carry_out(std::size_t index, const response_action& action)
{
    auto& slot = *this->instances[index];
    const auto found = slot.answers.extract(action.flow.value());
    if (!found.empty()) {
        found.mapped()(action);
    }
    slot.order_of_flow.erase(action.flow.value());
}

void node_world::carry_out(std::size_t index, const heartbeat_action& action)
{
    const auto target = this->index_of(action.peer);
    if (this->is_cut(index, target)) {
        return;
    }
    const auto incarnation = this->instances[index]->incarnation;
    this->after_delay([this, index, target, incarnation, action] {
        const auto peer_incarnation = this->instances[target]->incarnation;
        if (peer_incarnation == 0) {
            return;
        }
        this->on_instance(target, peer_incarnation, [this, index, target, incarnation, action] {
            const auto response = this->instances[target]->node->on_heartbeat(this->now, action.message);
            if (this->is_cut(index, target)) {
                return;
            }
            this->after_delay([this, index, incarnation, response] {
                this->on_instance(index, incarnation, [this, index, response] {
                    this->instances[index]->node->on_heartbeat_response(this->now, response);
                });
            });
        });
    });
}

void node_world::carry_out(std::size_t index, const fetch_document_action& action)
{
    const auto target = this->index_of(instance_id(action.address));
    const auto incarnation = this->instances[index]->incarnation;
    if (this->is_cut(index, target) || this->instances[target]->incarnation == 0) {
        return;
    }
    const auto& lists = this->instances[target]->node->components().lists;
    const auto version = lists.version_of(action.name);
    const auto body = lists.body_of(action.name);
    this->after_delay([this, index, incarnation, action, version, body] {
        this->on_instance(index, incarnation, [this, index, action, version, body] {
            this->instances[index]->node->on_document(this->now, action.name, version, body);
        });
    });
}

void node_world::carry_out(std::size_t index, const probe_action& action)
{
    const auto incarnation = this->instances[index]->incarnation;
    this->after_delay([this, index, incarnation, action] {
        const auto& upstream = *this->upstreams.at(action.upstream.str());
        const bool is_reachable = !this->is_cut_from(index, upstream.description.region);
        const probe_result result{is_reachable && this->now >= upstream.down_until, upstream.is_leaving,
                                  static_cast<std::int64_t>(upstream.running.size())};
        this->on_instance(index, incarnation, [this, index, action, result] {
            this->instances[index]->node->on_probe_result(this->now, action.upstream, result);
        });
    });
}

void node_world::carry_out(std::size_t index, const handover_action& action)
{
    const auto target = this->index_of(action.peer);
    const auto incarnation = this->instances[index]->incarnation;
    if (this->is_cut(index, target)) {
        return;
    }
    this->after_delay([this, index, target, incarnation, action] {
        const auto peer_incarnation = this->instances[target]->incarnation;
        if (peer_incarnation == 0) {
            return;
        }
        this->on_instance(target, peer_incarnation, [this, index, target, incarnation, action] {
            this->instances[target]->node->on_handover(action.handover);
            this->after_delay([this, index, incarnation] {
                this->on_instance(index, incarnation, [this, index] {
                    this->instances[index]->node->on_handover_response(true);
                });
            });
        });
    });
}

void node_world::publish(lists::document_name name, const std::string& body)
{
    auto& [version, stored] = this->store[name];
    ++version;
    stored = body;
}

void node_world::publish_instances()
{
    json::array entries;
    for (const auto& slot : this->instances) {
        const auto& self = slot->description;
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
                        {"address", id},
                        {"slots", description.slots.value()},
                        {"state", upstream->is_leaving ? "leaving" : "live"}});
    }
    this->publish(
        lists::document_name::instances,
        json::serialize(json::value{{"entries", std::move(entries)}, {"upstreams", std::move(list)}}));
}

void node_world::read_store(std::size_t index)
{
    const auto incarnation = this->instances[index]->incarnation;
    this->at(this->now + milliseconds(200 + this->pick(200)), [this, index, incarnation] {
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

void node_world::new_order()
{
    const auto gap = std::exponential_distribution<double>(this->options.requests_per_second)(this->random);
    this->at(this->now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)),
             [this] { this->new_order(); });
    auto next = std::make_shared<order>();
    next->is_idempotent = this->chance(0.4);
    next->is_poison = this->poison_crashes.empty() && this->chance(this->options.poison_chance);
    const auto number = std::to_string(++this->last_order);
    next->id = (next->is_poison ? "poison-" : next->is_idempotent ? "look-" : "once-") + number;
    next->is_idempotent = next->is_idempotent && !next->is_poison;
    next->request_fingerprint = fingerprint(std::hash<std::string>{}(next->id));
    const bool is_crowded = this->chance(this->options.crowding);
    const auto regions = static_cast<std::size_t>(this->options.regions);
    const auto asked = is_crowded ? regions * this->pick(this->instances.size() / regions)
                                  : this->pick(this->instances.size());
    auto& slot = *this->instances[asked];
    if (slot.incarnation == 0 || this->now < slot.frozen_until) {
        return;
    }
    const auto response =
        slot.node->look_up(this->now, the_service, slot.description.region, next->is_idempotent ? 0 : 4);
    if (response.entries.empty()) {
        return;
    }
    if (response.tickets.count > 0) {
        next->name = requests::ticket{response.tickets.incarnation, response.tickets.first};
    }
    this->send_order(next, this->index_of(response.entries.front().id));
}

void node_world::send_order(const std::shared_ptr<order>& what, std::size_t index)
{
    ++what->sends;
    if (what->name) {
        this->tickets[what->id] = *what->name;
    }
    this->after_delay([this, what, index] {
        const auto incarnation = this->instances[index]->incarnation;
        if (incarnation == 0) {
            return;
        }
        this->on_instance(index, incarnation, [this, what, index] {
            auto& slot = *this->instances[index];
            request_facts facts;
            facts.flow = flow_id(++slot.last_flow);
            facts.service = the_service;
            facts.is_idempotent = what->is_idempotent;
            facts.deadline = this->now + order_deadline;
            facts.request_fingerprint = what->request_fingerprint;
            facts.affinity = what->request_fingerprint.value();
            facts.ticket = what->name;
            slot.order_of_flow[facts.flow.value()] = what->id;
            slot.answers[facts.flow.value()] =
                [this, what, sent_as = what->ticket_generation](const response_action& response) {
                    this->on_order_answer(what, response, sent_as == what->ticket_generation);
                };
            slot.node->on_caller_request(this->now, facts);
        });
    });
    //! NOTE A caller that hears nothing, or loses patience, sends the same request again, also elsewhere.
    if (what->sends < 4 && (this->chance(0.15) || what->is_poison)) {
        const auto sent_as = what->ticket_generation;
        this->at(this->now + milliseconds(50 + this->pick(1500)), [this, what, index, sent_as] {
            if (sent_as != what->ticket_generation) {
                return;
            }
            const auto other = this->chance(0.5) ? index : this->pick(this->instances.size());
            this->send_order(what, other);
        });
    }
}

void node_world::on_order_answer(const std::shared_ptr<order>& what, const response_action& response,
                                 bool is_current)
{
    ++this->verdict.counts[std::string(requests::to_string(response.result))];
    if (response.result == outcome::not_executed) {
        ++this->verdict.counts["not-executed, " + std::string(admission::to_string(response.reason))];
    }
    if (response.upstream_response && response.upstream_response->body != what->id) {
        this->fault("order " + what->id + " got the answer of " + response.upstream_response->body);
    }
    if (response.result == outcome::not_executed && what->id.starts_with("once-") && what->name) {
        this->told_not_executed.insert(what->id);
        if (this->runs.contains(what->id)) {
            this->fault("the caller of " + what->id + " was told that it was not run, and it ran");
        }
    }
    if (what->is_poison && is_current && what->sends < 8 && response.tickets.count > 0) {
        ++what->ticket_generation;
        what->name = requests::ticket{response.tickets.incarnation, response.tickets.first};
        this->send_order(what, this->pick(this->instances.size()));
    }
}

void node_world::fault_step()
{
    this->at(this->now + fault_interval, [this] { this->fault_step(); });
    const auto index = this->pick(this->instances.size());
    auto& slot = *this->instances[index];
    const bool is_up = slot.incarnation != 0 && this->now >= slot.frozen_until;
    if (is_up && this->chance(this->options.kill_chance)) {
        ++this->verdict.counts["kills"];
        slot.incarnation = 0;
        this->at(this->now + milliseconds(300 + this->pick(2000)),
                 [this, index] { this->start_instance(index); });
    } else if (is_up && this->chance(this->options.freeze_chance)) {
        ++this->verdict.counts["freezes"];
        slot.frozen_until = this->now + milliseconds(500 + this->pick(6000));
    } else if (is_up && this->chance(this->options.stop_chance)) {
        slot.node->begin_leave(this->now);
        this->carry_out(index);
    }
    if (this->chance(this->options.cut_chance)) {
        this->cut_region = this->cut_region >= 0 ? -1 : static_cast<int>(this->pick(this->options.regions));
        ++this->verdict.counts["cuts"];
    }
    if (this->chance(this->options.store_chance)) {
        this->is_store_down = !this->is_store_down;
    }
    if (this->chance(this->options.drain_chance)) {
        auto chosen = this->upstreams.begin();
        std::advance(chosen, this->pick(this->upstreams.size()));
        if (!chosen->second->is_leaving) {
            chosen->second->is_leaving = true;
            chosen->second->leaving_since = this->now;
            this->publish_instances();
            ++this->verdict.counts["drains"];
        }
    }
}

void node_world::check(std::size_t index)
{
    auto& slot = *this->instances[index];
    if (slot.incarnation == 0) {
        return;
    }
    auto& components = slot.node->components();
    for (const auto& [service, admission] : components.admission.services()) {
        for (const auto& [id, upstream] : admission.upstreams()) {
            if (upstream.in_flight() > upstream.description().slots.value()) {
                this->fault("owner " + slot.description.id.str() + " overloads " + id.str());
            }
        }
    }
    this->check_shift_caps();
    for (const auto& [name, version] : components.lists.versions()) {
        if (version < slot.seen_versions[name]) {
            this->fault("a version went back at " + slot.description.id.str());
        }
        slot.seen_versions[name] = version;
    }
}

void node_world::check_shift_caps()
{
    std::map<int, std::int64_t> shifted;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const auto& slot = *this->instances[i];
        auto* admission =
            slot.incarnation == 0 ? nullptr : slot.node->components().admission.find(the_service);
        shifted[this->region_of(i)] += admission == nullptr ? 0 : admission->remote_in_flight();
    }
    const auto region_slots = std::int64_t{2} * this->options.upstreams_per_domain * this->options.slots;
    const auto cap = static_cast<std::int64_t>(shift::shift_configuration{}.cap_fraction *
                                               static_cast<double>(region_slots));
    for (const auto& [region, in_flight] : shifted) {
        this->verdict.most_shifted = std::max(this->verdict.most_shifted, in_flight);
        if (in_flight > cap) {
            this->fault("region " + std::to_string(region) + " runs " + std::to_string(in_flight) +
                        " shifted requests, above the cap of " + std::to_string(cap));
        }
    }
}

world_verdict node_world::run()
{
    const auto end = this->now + this->options.length;
    this->at(this->now + milliseconds(2500), [this] { this->new_order(); });
    this->at(this->now + milliseconds(3000), [this] { this->fault_step(); });
    while (!this->events.empty() && this->verdict.faults.empty()) {
        const auto next = this->events.begin();
        if (next->first > end) {
            break;
        }
        this->now = std::max(this->now, next->first);
        const auto run = std::move(next->second);
        this->events.erase(next);
        run();
    }
    return this->verdict;
}
} // namespace buckthornhill::node::testing
