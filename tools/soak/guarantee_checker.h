#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fault_record.h"
#include "global/units.h"

namespace buckthornhill::soak {
//! How a request ended for its caller.
enum class request_outcome {
    whole,       //!< a success response that an upstream made for this request
    inauthentic, //!< a success response that no upstream made for this request
    refused,     //!< a response that guarantees that the request has not run and never will
    rejected,    //!< a response that says that the caller's key is unknown
    no_route,    //!< a response that says that no route matches
    unknown,     //!< a failure that leaves open whether the request ran
    broken       //!< the connection ended without a response
};

//! Bounds from the user documentation that the soak test checks.
struct guarantee_bounds
{
    std::chrono::milliseconds drain{2000}; //!< from an upstream's registration as leaving to its last request
    std::chrono::milliseconds configuration{2000}; //!< from its acknowledgement until it is in force
    //! Before a request that a planned stop cut off: with a fault in this time the stop is not to blame.
    std::chrono::milliseconds calm_before_stop{3000};
    std::chrono::milliseconds stop{7000}; //!< the grace period of a planned stop plus 1 s
    double min_served_share = 0.9;        //!< of the requests sent after the recovery
};

//! Records what callers, upstreams and the operator observed in a run, and reports which guarantees were
//! violated. Uses neither sockets nor a clock.
class guarantee_checker
{
public:
    //! `faults` must outlive the checker.
    guarantee_checker(const guarantee_bounds& bounds, const fault_record& faults)
        : bounds(bounds)
        , faults(faults)
    {
    }

    void on_sent(time_point at, const std::string& request, const std::string& gateway, bool is_idempotent);
    //! The request may be refused without a fault, because of its key or the limit of its account.
    void on_not_owed(const std::string& request) { this->requests[request].is_owed = false; }
    void on_outcome(time_point at, const std::string& request, request_outcome outcome);
    void on_execution(time_point at, const std::string& request, const std::string& upstream,
                      const std::string& service);
    void on_planned_stop(time_point at, const std::string& gateway);
    void on_leaving(time_point at, const std::string& upstream);
    //! The store acknowledged a configuration with these services by path prefix.
    void on_configuration(time_point at, std::map<std::string, std::string> service_by_prefix)
    {
        this->configurations[at] = std::move(service_by_prefix);
    }
    //! All faults are over at `at`, and the system has had time to recover.
    void on_recovered(time_point at) { this->recovered_at = at; }
    //! Adds a violation that is known without the recorded requests.
    void add_violation(std::string text) { this->reported_violations.push_back(std::move(text)); }

    //! One line for each violated guarantee.
    std::vector<std::string> violations() const;
    std::size_t request_count() const { return this->requests.size(); }
    std::size_t count(request_outcome outcome) const;
    //! Requests that may run at most once.
    std::size_t single_run_count() const;

private:
    struct execution
    {
        time_point at;
        std::string upstream;
        std::string service;
    };
    struct request_record
    {
        time_point sent_at;
        std::string gateway;
        bool is_idempotent = false;
        bool is_owed = true;
        bool is_finished = false;
        request_outcome outcome = request_outcome::unknown;
        time_point finished_at{};
        std::vector<execution> executions;
    };

    std::string violation_in(const std::string& id, const request_record& request) const;
    std::string drain_violation(const std::string& id, const request_record& request,
                                const execution& execution) const;
    //! `service` ran the request; empty when it was answered that no route matches.
    std::string configuration_violation(const std::string& id, const request_record& request,
                                        const std::string& service, time_point handled_at) const;
    bool overlaps_planned_stop(const request_record& request) const;

    guarantee_bounds bounds;
    const fault_record& faults;
    std::map<std::string, request_record> requests;
    std::multimap<std::string, time_point> planned_stops;
    std::map<std::string, time_point> leaving_since;
    std::map<time_point, std::map<std::string, std::string>> configurations;
    std::vector<std::string> reported_violations;
    time_point recovered_at = time_point::max();
};
} // namespace buckthornhill::soak
