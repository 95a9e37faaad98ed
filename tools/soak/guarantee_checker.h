#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
enum class request_outcome {
    whole,       //!< made by an upstream for this request
    inauthentic, //!< a success that is not
    refused,     //!< a promise that the request has not run and never will
    unknown,     //!< a failure that promises nothing
    broken       //!< the connection ended without an answer
};

//! Bounds of the users' pages that the soak holds the system to.
struct guarantee_bounds
{
    std::chrono::milliseconds drain{2000}; //!< from a registration that says leaving to the last request
    std::chrono::milliseconds configuration{2000};     //!< from its acknowledgement until it is in force
    std::chrono::milliseconds fault_free_period{4000}; //!< without trouble, before the bounds above count
    std::chrono::milliseconds stop{7000};              //!< the grace of a planned stop and a second
    double min_served_share = 0.9;                     //!< of the requests once all trouble is over
};

//! What callers, upstreams and the operator saw of a run, and which promises that breaks. No sockets,
//! no clock.
class guarantee_checker
{
public:
    explicit guarantee_checker(const guarantee_bounds& bounds)
        : bounds(bounds)
    {
    }

    void on_sent(time_point at, const std::string& request, const std::string& gateway, bool is_idempotent);
    void on_outcome(time_point at, const std::string& request, request_outcome outcome);
    void on_execution(time_point at, const std::string& request, const std::string& upstream,
                      const std::string& service);
    //! Something unplanned was wrong from `from` to `until`.
    void on_injected_fault(time_point from, time_point until);
    void on_planned_stop(time_point at, const std::string& gateway);
    void on_leaving(time_point at, const std::string& upstream);
    //! A configuration that sends `moving_prefix` to `service` was acknowledged.
    void on_configuration(time_point at, const std::string& service) { this->configurations[at] = service; }
    //! All trouble ended at `at`, and everything had time to recover.
    void on_recovered(time_point at) { this->recovered_at = at; }
    //! Something that is wrong in itself.
    void add_violation(std::string text) { this->reported_violations.push_back(std::move(text)); }

    //! One line for each broken promise.
    std::vector<std::string> violations() const;
    std::size_t request_count() const { return this->requests.size(); }
    std::size_t count(request_outcome outcome) const;

    static constexpr const char* moving_prefix = "/moving/";

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
        bool is_finished = false;
        request_outcome outcome = request_outcome::unknown;
        time_point finished_at{};
        std::vector<execution> executions;
    };

    bool is_fault_free(time_point from, time_point until) const;
    std::string violation_in(const std::string& id, const request_record& request) const;
    std::string violation_in_execution(const std::string& id, const request_record& request,
                                       const execution& execution) const;
    bool overlaps_planned_stop(const request_record& request) const;

    guarantee_bounds bounds;
    std::map<std::string, request_record> requests;
    std::vector<std::pair<time_point, time_point>> fault_intervals;
    std::multimap<std::string, time_point> planned_stops;
    std::map<std::string, time_point> leaving_since;
    std::map<time_point, std::string> configurations;
    std::vector<std::string> reported_violations;
    time_point recovered_at = time_point::max();
};
} // namespace buckthornhill::soak
