#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "fault_record.h"
#include "global/units.h"

namespace buckthornhill::soak {
//! Bounds from the user documentation on what reaches the upstreams from all gateways together.
struct arrival_bounds
{
    double cold_load_factor = 1.5;
    double cold_slack = 5; //!< requests in a second beyond the rate of a cold upstream
    double limit_factor = 1.5;
    double limit_slack = 5; //!< requests in a window beyond the limit that an upstream names
    std::chrono::milliseconds limit_window{4000};
    std::chrono::milliseconds limit_binds_after{3000}; //!< since it was named first
    //! After a response that names a limit has passed through a gateway, until its requests count.
    std::chrono::milliseconds limit_notice{500};
    std::chrono::milliseconds drain{2000}; //!< after a response that says that the upstream leaves
    std::chrono::milliseconds pause_notice{500};
    std::ptrdiff_t pause_slack = 2; //!< requests of one gateway during a pause
    std::size_t tolerated_crashes = 3;
    std::chrono::milliseconds crash_notice{3000}; //!< after the last tolerated crash of a request
    std::ptrdiff_t retries_after_crashes = 3;
    std::chrono::milliseconds leave_notice{500}; //!< after a caller has closed its connection
    std::ptrdiff_t tolerated_after_leave = 3;
};

//! Records which requests reached the upstreams, whether they ran or were rejected, and reports the limits
//! that were exceeded. All of them hold whatever faults there were. Uses neither sockets nor a clock.
class arrival_checker
{
public:
    //! `faults` must outlive the checker.
    arrival_checker(const arrival_bounds& bounds, const fault_record& faults)
        : bounds(bounds)
        , faults(faults)
    {
    }

    void on_sent(time_point at, const std::string& request, const std::string& gateway);
    //! `is_misdirected`: the request was meant for another upstream at this address and was answered with
    //! 421.
    void on_arrival(time_point at, const std::string& request, const std::string& upstream,
                    bool is_misdirected = false);
    //! The upstream takes `requests_per_second` from `from` to `until`.
    void on_cold(time_point from, time_point until, const std::string& upstream, double requests_per_second);

    //! Each response of the upstream names this limit from `from` to `until`.
    void on_limit(time_point from, time_point until, const std::string& upstream, double requests_per_second);
    //! A response that names a limit reached the gateway that had sent the request.
    void on_limit_named(time_point at, const std::string& request, const std::string& upstream);
    //! A response said that the upstream leaves, and reached the gateway that had sent the request.
    void on_leaving_named(time_point at, const std::string& request, const std::string& upstream);
    //! The upstream rejected the request and wants none of this gateway until `until`.
    void on_turned_away(time_point at, time_point until, const std::string& request,
                        const std::string& upstream);
    //! The request is one of those with `content`, which crash the upstreams that run them.
    void on_crashing_request(const std::string& request, const std::string& content);
    //! A request with `content` has crashed an upstream.
    void on_crash(time_point at, const std::string& content);
    //! Responses of this upstream were lost or held back, so that gateways do not know what they said.
    void on_responses_lost(time_point from, time_point until, const std::string& upstream);
    //! The caller closed the connection on which it had sent the request.
    void on_caller_left(time_point at, const std::string& request) { this->left[request] = at; }

    //! One line for each limit and upstream or service that exceeded it.
    std::vector<std::string> violations() const;

private:
    struct arrival
    {
        time_point at;
        time_point sent_at;
        std::string gateway;
        std::string request;
        bool is_misdirected = false;
    };
    struct rate_period
    {
        time_point from;
        time_point until;
        double requests_per_second = 0;
    };
    using time_points = std::vector<time_point>;

    void check_cold(const std::string& upstream, const rate_period& period,
                    std::vector<std::string>& found) const;
    void check_limit(const std::string& upstream, const rate_period& period,
                     std::vector<std::string>& found) const;
    void check_leaving(std::vector<std::string>& found) const;
    void check_pauses(std::vector<std::string>& found) const;
    void check_crashes(std::vector<std::string>& found) const;
    //! Requests that reached an upstream although their callers had left.
    void check_left(std::vector<std::string>& found) const;
    bool has_lost_response(const std::string& upstream, time_point at) const;
    //! The request counts for the limit: its gateway knew of it and is not excused.
    bool is_limited(const std::string& upstream, const rate_period& period, const arrival& one) const;

    arrival_bounds bounds;
    const fault_record& faults;
    std::map<std::string, std::pair<time_point, std::string>> sent; //!< time and gateway, by request
    std::map<std::string, time_point> left;                         //!< when its caller left, by request
    std::map<std::string, std::vector<arrival>> by_upstream;
    std::multimap<std::string, rate_period> cold_periods;
    std::multimap<std::string, rate_period> limit_periods;
    std::map<std::pair<std::string, std::string>, time_points> limit_notices;   //!< by gateway and upstream
    std::map<std::pair<std::string, std::string>, time_points> leaving_notices; //!< by gateway and upstream
    //! Begin and end, by gateway and upstream.
    std::map<std::pair<std::string, std::string>, std::vector<std::pair<time_point, time_point>>> pauses;
    std::map<std::string, std::vector<rate_period>> lost_responses; //!< by upstream
    std::map<std::string, std::string> crashing_content;            //!< by request
    std::map<std::string, time_points> crashes;                     //!< by content
};
} // namespace buckthornhill::soak
