#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
//! Bounds from the user documentation on the attempts that one request of a caller leads to.
struct attempt_bounds
{
    std::size_t max_attempts = 2; //!< upstreams at which one request runs, by its route
    std::size_t tolerated_requests = 3;
    std::chrono::milliseconds deadline_slack{500};
    std::size_t tolerated_deadlines = 20;
    std::size_t tolerated_deadline_fraction = 5; //!< one in so many
};

//! Records at how many upstreams each request ran and how much time was handed on with it. Uses neither
//! sockets nor a clock.
class attempt_checker
{
public:
    explicit attempt_checker(const attempt_bounds& bounds)
        : bounds(bounds)
    {
    }

    //! A caller sent the request and waits for `announced`.
    void on_sent(time_point at, const std::string& request, std::chrono::milliseconds announced);
    //! `time_left` is what the gateway handed on; empty when it named none.
    void on_arrival(time_point at, const std::string& request, const std::string& upstream, bool is_executed,
                    std::optional<std::chrono::milliseconds> time_left);
    //! The upstream ended or its path was cut: requests may run elsewhere instead.
    void on_upstream_lost(const std::string& upstream) { this->lost_upstreams[upstream] = true; }

    //! One line for each bound that was exceeded.
    std::vector<std::string> violations() const;

private:
    struct arrival
    {
        time_point at;
        std::string upstream;
        bool is_executed = false;
        std::optional<std::chrono::milliseconds> time_left;
    };
    struct request_record
    {
        time_point sent_at;
        std::chrono::milliseconds announced{0};
        std::vector<arrival> arrivals;
    };

    std::size_t upstreams_at_work(const request_record& request) const;
    bool has_excessive_deadline(const request_record& request, const arrival& one) const;

    attempt_bounds bounds;
    std::map<std::string, request_record> requests;
    std::map<std::string, bool> lost_upstreams;
};
} // namespace buckthornhill::soak
