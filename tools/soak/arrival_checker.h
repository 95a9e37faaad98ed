#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
//! Bounds from the user documentation on what reaches the upstreams from all gateways together.
struct arrival_bounds
{
    double retry_ratio = 0.2; //!< arrivals beyond the first of each request, per request of the service
    double retry_burst = 58;  //!< arrivals beyond the ratio
    std::chrono::milliseconds retry_window{10000};
    double cold_load_factor = 1.5;
    double cold_slack = 5; //!< requests in a second beyond the rate of a cold upstream
};

//! Records which requests reached the upstreams, whether they ran or were rejected, and reports the limits
//! that were exceeded. All of them hold whatever faults there were. Uses neither sockets nor a clock.
class arrival_checker
{
public:
    explicit arrival_checker(const arrival_bounds& bounds)
        : bounds(bounds)
    {
    }

    //! A caller sent a request on a route to `service`.
    void on_sent(time_point at, const std::string& request, const std::string& service);
    void on_arrival(time_point at, const std::string& request, const std::string& upstream,
                    const std::string& service);
    //! The upstream takes `requests_per_second` from `from` to `until`.
    void on_cold(time_point from, time_point until, const std::string& upstream, double requests_per_second);

    //! One line for each limit and upstream or service that exceeded it.
    std::vector<std::string> violations() const;

private:
    struct arrival
    {
        time_point at;
        time_point sent_at;
    };
    struct cold_period
    {
        time_point from;
        time_point until;
        double requests_per_second = 0;
    };
    using time_points = std::vector<time_point>;

    void check_retries(const std::string& service, time_points retries,
                       std::vector<std::string>& found) const;
    void check_cold(const std::string& upstream, const cold_period& period,
                    std::vector<std::string>& found) const;

    arrival_bounds bounds;
    std::map<std::string, time_point> sent_at;                            //!< by request
    std::map<std::string, time_points> sent_to;                           //!< by service
    std::map<std::string, std::map<std::string, time_points>> by_service; //!< and by request
    std::map<std::string, std::vector<arrival>> by_upstream;
    std::multimap<std::string, cold_period> cold_periods;
};
} // namespace buckthornhill::soak
