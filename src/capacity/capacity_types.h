#pragma once

#include <cstdint>
#include <optional>

#include "global/units.h"

//! Learns how much load each upstream takes well, from the times of this instance's own requests and from the
//! load reports in their responses.
namespace buckthornhill::capacity {
//! One response of an upstream, with the load of the upstream while it handled the request.
struct work_sample
{
    //! Natural logarithm of the work time relative to the usual one of the service, see `work_reference`.
    double log_time_ratio = 0;
    double running = 1; //!< requests in progress at the upstream, of all instances
    double weight = 1;  //!< 1 for a sample of usual quality
};

struct capacity_estimate
{
    double limit = 0;    //!< requests in progress beyond which one more gains no throughput
    double speed = 1;    //!< relative to the upstreams of the service
    double evidence = 0; //!< effective number of samples, older ones counting less
};

//! Load of an upstream over the time of one request.
struct observed_load
{
    double running = 1;
    double waiting = 0;

    //! Part of the response time in which the upstream worked on the request: by Little's law a queue that
    //! stays the same takes the same part of the time as of the requests.
    double work_share() const { return this->running / (this->running + this->waiting); }
};

//! `at_response` is what the upstream reported, all instances' requests without the one that ends. When
//! known, `at_sending` is what was there as it was sent: the mean of both describes the time between better
//! than its end, which hides most of a limit.
observed_load load_during(std::int64_t at_response, std::optional<double> at_sending, slot_count slots);
} // namespace buckthornhill::capacity
