#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fault_record.h"
#include "global/units.h"

namespace buckthornhill::soak {
//! Bounds from the user documentation on the attempts that one request of a caller leads to.
struct attempt_bounds
{
    std::size_t max_attempts = 2; //!< upstreams at which one request runs, by its route
    std::size_t tolerated_requests = 3;
    std::chrono::milliseconds deadline_slack{500};
    std::size_t tolerated_deadlines = 20;
    //! One in so many of the excessive ones and of all that were sent once more so late.
    std::size_t tolerated_deadline_fraction = 5;
};

//! Records at how many upstreams each request ran and how much time was handed on with it. Uses neither
//! sockets nor a clock.
class attempt_checker
{
public:
    //! `faults` must outlive the checker.
    attempt_checker(const attempt_bounds& bounds, const fault_record& faults)
        : bounds(bounds)
        , faults(faults)
    {
    }

    //! A caller sent the request and waits for `announced`.
    void on_sent(time_point at, const std::string& request, const std::string& gateway,
                 std::chrono::milliseconds announced);
    void on_outcome(time_point at, const std::string& request);
    //! `time_left` is what the gateway handed on; empty when it named none.
    void on_arrival(time_point at, const std::string& request, const std::string& upstream, bool is_executed,
                    std::optional<std::chrono::milliseconds> time_left);
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
        std::optional<time_point> finished_at;
        std::string gateway;
        std::chrono::milliseconds announced{0};
        std::vector<arrival> arrivals;
    };

    //! Upstreams that ended or were cut off meanwhile do not count.
    std::size_t upstreams_at_work(const request_record& request) const;
    //! Whether the request was sent once more so late that its time left has to be shorter.
    bool is_late_repeat(const request_record& request, const arrival& one) const;
    bool has_excessive_deadline(const request_record& request, const arrival& one) const;

    attempt_bounds bounds;
    const fault_record& faults;
    std::map<std::string, request_record> requests;
};
} // namespace buckthornhill::soak
