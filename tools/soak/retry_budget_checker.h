#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
//! How often requests may be repeated at the upstreams of one service, in any window of time.
struct retry_budget
{
    double ratio = 0.2; //!< arrivals beyond the first of each request, per request of the service
    double burst = 58;  //!< arrivals beyond the ratio
    std::chrono::milliseconds window{10000};
};

//! Counts what reaches the upstreams of each service from all gateways together, rejected or not, against the
//! budget of retries. No fault excuses an excess. Uses neither sockets nor a clock.
class retry_budget_checker
{
public:
    explicit retry_budget_checker(const retry_budget& budget)
        : budget(budget)
    {
    }

    //! A caller sent a request on a route to `service`.
    void on_sent(time_point at, const std::string& service) { this->sent_to[service].push_back(at); }
    void on_arrival(time_point at, const std::string& request, const std::string& service);

    //! One line for each service that exceeded its budget.
    std::vector<std::string> violations() const;
    //! The largest part of its budget that any service used in a window.
    double largest_share() const;

private:
    struct arrival
    {
        time_point at;
        std::string service;
    };
    //! The window of a service that used the largest part of its budget.
    struct busiest_window
    {
        double retries = 0;
        double allowed = 1;
    };
    using time_points = std::vector<time_point>;

    std::map<std::string, time_points> retries_by_service() const;
    busiest_window busiest(const std::string& service, const time_points& retries) const;

    retry_budget budget;
    std::map<std::string, time_points> sent_to;
    std::map<std::string, std::vector<arrival>> arrivals; //!< by request
};
} // namespace buckthornhill::soak
