#pragma once

#include <string_view>

#include "global/ids.h"
#include "global/units.h"

//! Classifies each request by its customer's plan. Exceeding a quota lowers the class of a request but does
//! not by itself cause a refusal.
namespace buckthornhill::quota {
//! Order in which requests are served under overload, first to last.
enum class request_class { within_quota, above_quota, no_plan };

std::string_view to_string(request_class value);
request_class parse_request_class(std::string_view text);

//! Requests of one customer that one instance has in flight for one service.
struct usage_record
{
    customer_id customer;
    service_id service;
    slot_count in_flight;
};
} // namespace buckthornhill::quota
