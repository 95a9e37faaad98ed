#pragma once

#include <string>

#include <catch2/catch.hpp>

#include "proxy/proxy_core.h"

namespace buckthornhill::proxy {
using routing::repeat_rule;
using std::chrono::milliseconds;

inline const service_id orders("orders");
inline const place here{region_id("r1"), domain_id("d1")};

//! The decisions of one instance; the test simulates the clock and the upstreams.
class proxy_fixture
{
public:
    //! The instance has run for `uptime`; by default for so long that it may use its whole retry budget.
    explicit proxy_fixture(int upstreams, const proxy_configuration& configuration = {},
                           duration uptime = std::chrono::seconds(60))
        : core(instance_id("i1"), here, configuration, [this] { return ++this->random_state; })
    {
        this->core.set_instances(this->now - uptime, 1, {});
        this->configure(1, repeat_rule::repeatable);
        for (int i = 0; i < upstreams; ++i) {
            this->core.upstreams().upsert(this->now, entry(i));
        }
    }

    static fleet::upstream_entry entry(int number)
    {
        fleet::upstream_entry made;
        made.id = upstream_id("u" + std::to_string(number));
        made.started_at_ms = 1;
        made.service = orders;
        made.address = "10.0.0.1:" + std::to_string(number + 1);
        made.where = here;
        made.slots = slot_count(2);
        return made;
    }

    void configure(std::uint64_t version, repeat_rule repeats, const std::string& prefix = "/a/")
    {
        routing::routing_configuration configuration;
        configuration.version = routing::configuration_version(version);
        routing::route route;
        route.name = "a";
        route.host = "h";
        route.path_prefix = prefix;
        route.repeats = repeats;
        route.services = {{orders, 1}};
        route.timeout = milliseconds(1000);
        route.objective = milliseconds(400);
        route.max_upstreams = 2;
        route.has_affinity = true;
        route.priority = 1;
        configuration.routes.push_back(route);
        configuration.services[orders].cold_requests_per_second = 8;
        this->core.on_configuration(configuration);
    }

    flow_id request(std::uint64_t object = 1, milliseconds time_left = milliseconds(3000),
                    const std::string& path = "/a/x")
    {
        request_facts facts;
        facts.flow = ++this->last_flow;
        facts.request_fingerprint = this->next_fingerprint;
        facts.host = "h";
        facts.path = path;
        facts.object = placement::object_hash(object);
        facts.has_object = true;
        facts.arrived_at = this->now;
        facts.deadline = this->now + time_left;
        this->core.on_request(this->now, facts);
        return facts.flow;
    }

    //! The pending action, which must be the only one and an `Action`.
    template <typename Action>
    Action single_action()
    {
        const auto actions = this->core.take_actions();
        REQUIRE(actions.size() == 1);
        REQUIRE(std::holds_alternative<Action>(actions.front()));
        return std::get<Action>(actions.front());
    }

    void finish_attempt(const start_attempt_action& attempt, const attempt_outcome& outcome)
    {
        this->core.on_attempt_outcome(this->now, attempt.flow, attempt.attempt, outcome);
    }

    time_point now{std::chrono::seconds(1000)};
    flow_id last_flow;
    fingerprint next_fingerprint; //!< of the requests from now on
    std::uint64_t random_state = 0;
    proxy_core core;
};

inline attempt_outcome success()
{
    attempt_outcome outcome;
    outcome.status = transport_status::complete;
    return outcome;
}

inline attempt_outcome outcome_of_status(transport_status status)
{
    attempt_outcome outcome;
    outcome.status = status;
    return outcome;
}

inline attempt_outcome rejected()
{
    attempt_outcome outcome;
    outcome.status = transport_status::complete;
    outcome.is_not_executed = true;
    outcome.is_server_failure = true;
    return outcome;
}

inline attempt_outcome misdirected()
{
    auto outcome = rejected();
    outcome.is_misdirected = true;
    return outcome;
}
} // namespace buckthornhill::proxy
