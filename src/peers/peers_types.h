#pragma once

#include <map>
#include <vector>

#include "admission/admission_types.h"
#include "lists/lists_types.h"
#include "membership/membership_types.h"
#include "quarantine/quarantine_types.h"
#include "quota/quota_types.h"
#include "requests/ticket_book.h"

//! Messages between entry instances: JSON over HTTP on the peer listener.
namespace buckthornhill::peers {
//! What one instance tells another in a heartbeat and in the answer to one.
//! The sender is the first record of `members`.
struct heartbeat
{
    membership::gossip members;
    lists::version_map versions;
    std::vector<admission::service_report> reports;       //!< of upstreams that the sender owns
    std::map<service_id, std::int64_t> credits;           //!< granted to the receiver
    std::map<service_id, std::int64_t> requested_credits; //!< credits that the sender could use
    std::map<service_id, std::int64_t> ejected;           //!< upstreams that the sender ejected
    std::vector<quota::usage_record> usage;               //!< only within a region
    std::vector<quarantine::crash_note> crash_notes;
    std::vector<upstream_id> leaving;      //!< upstreams that said they leave
    std::uint64_t round = 0;               //!< the sender's count of heartbeats
    std::uint64_t acknowledged_round = 0;  //!< in an answer, the round that it answers
    std::vector<incarnation_id> handovers; //!< stopped incarnations whose outcomes it keeps
    requests::ticket_block tickets;        //!< of the sender, for look-ups at the receiver
    bool wants_tickets = false;
};
} // namespace buckthornhill::peers
