#pragma once

#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "lists/lists_types.h"

//! The gate for planned slowdowns: a drain or a lowered quota that would slow a customer within its quota
//! waits until an operator has recorded the promised call to that customer.
namespace buckthornhill::drain {
//! A customer that has to be called before a planned action takes effect.
struct pending_notification
{
    customer_id customer;
    std::string subject; //!< names the action in the record of the call
    region_id region;
    service_id service;
    slot_count promised_slots;  //!< slots of all customers' quotas there
    slot_count available_slots; //!< slots left there by the action
};

struct drain_decision
{
    lists::drain_mark mark;
    bool is_released = false;
    std::vector<pending_notification> pending_notifications; //!< calls that are still missing
};
} // namespace buckthornhill::drain
