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
//! State that one instance sends to another in a heartbeat and in the response to one.
//! The first record of `members` describes the sender.
struct heartbeat
{
    membership::gossip members;
    lists::version_map versions;
    std::vector<admission::service_report> reports;       //!< on the upstreams that the sender owns
    std::map<service_id, std::int64_t> credits;           //!< granted to the receiver, by service
    std::map<service_id, std::int64_t> requested_credits; //!< credits that the sender could use, by service
    std::map<service_id, std::int64_t> ejected; //!< number of upstreams that the sender ejected, by service
    std::vector<quota::usage_record> usage;     //!< sent only within a region
    std::vector<quarantine::crash_note> crash_notes;
    std::vector<upstream_id> leaving;      //!< upstreams that announced that they are leaving
    std::uint64_t round = 0;               //!< sequence number of the sender's heartbeats
    std::uint64_t acknowledged_round = 0;  //!< in a response, the round of the heartbeat it responds to
    std::vector<incarnation_id> handovers; //!< stopped incarnations whose outcomes the sender keeps
    requests::ticket_block tickets;        //!< issued by the sender for the receiver to return in look-ups
    bool wants_tickets = false;
};
} // namespace buckthornhill::peers
