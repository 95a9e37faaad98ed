#pragma once

#include "backend.h"
#include "deployment.h"

namespace buckthornhill::review {
//! Starts stand-in backends of the service `stockyard` and registers them. `adjust` may change their options.
std::list<backend> start_stockyard(store& platform, arrival_book& book, std::size_t count,
                                   const std::function<void(std::size_t, backend_options&)>& adjust = {});

//! A backend that leaves, and when the store accepted that.
struct departure
{
    upstream_id backend;
    time_point acknowledged_at{};
};

//! Counts and records the arrivals at `gone` later than `drain` after the ack and later than
//! `in_touch_since`.
std::size_t count_late_arrivals(const arrival_book& book, const departure& gone, time_point in_touch_since,
                                record& log);
} // namespace buckthornhill::review
