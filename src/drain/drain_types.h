#pragma once

#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "lists/lists_types.h"

//! Gate for planned slowdowns: a drain or a lowered quota that would slow down a customer within its quota is
//! held back until an operator has recorded the promised call to that customer.
namespace buckthornhill::drain {
//! A customer that has to be called before a planned action takes effect.
struct pending_notification
{
    customer_id customer;
    std::string subject; //!< identifies the action in the record of the call
    region_id region;
    service_id service;
    slot_count promised_slots;  //!< all customers' quotas there; for a lowered quota the customer's old one
    slot_count available_slots; //!< slots that remain there after the action
};

struct drain_decision
{
    lists::drain_mark mark;
    bool is_released = false;
    std::vector<pending_notification> pending_notifications; //!< calls that are not recorded yet
};
} // namespace buckthornhill::drain
