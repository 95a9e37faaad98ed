#pragma once

#include "admission/admission_controller.h"
#include "drain/slowdown_gate.h"
#include "health/health_monitor.h"
#include "lists/list_state.h"
#include "membership/member_table.h"
#include "node/node_types.h"
#include "node/service_directory.h"
#include "ownership/owner_map.h"
#include "quarantine/crash_register.h"
#include "quota/usage_tracker.h"
#include "requests/handover_store.h"
#include "requests/ticket_book.h"
#include "shift/shift_limiter.h"
#include "steering/owner_selector.h"

namespace buckthornhill::node {
//! The subsystems of one entry instance, shared by the node, its request coordinator and its look-ups.
struct node_components
{
    node_components(const membership::member_description& self, const node_configuration& configuration,
                    const random_hook& random);

    //! The member that reported storing the outcomes of a stopped incarnation; empty when none did.
    instance_id handover_holder_of(incarnation_id incarnation) const;

    membership::member_table members;
    ownership::owner_map owners;
    lists::list_state lists;
    quota::usage_tracker usage;
    admission::admission_controller admission;
    steering::owner_selector selector;
    shift::shift_limiter shift;
    health::health_monitor health;
    quarantine::crash_register crashes;
    drain::slowdown_gate drain_gate;
    requests::ticket_book tickets;
    requests::handover_store handovers;
    service_directory directory;
    std::map<incarnation_id, instance_id> handover_holders;
};
} // namespace buckthornhill::node
