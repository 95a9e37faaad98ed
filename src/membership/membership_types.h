#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

//! Tracks which entry instances run, by heartbeats with bounded gossip. The platform's list lags behind and
//! is used only as a seed.
namespace buckthornhill::membership {
//! Description of an entry instance by itself; constant for one incarnation.
struct member_description
{
    instance_id id;
    incarnation_id incarnation;
    region_id region;
    domain_id domain;
    std::string peer_address;   //!< `address:port` for other entry instances
    std::string caller_address; //!< `address:port` for callers
};

enum class member_state {
    seeded,  //!< listed by the platform, no heartbeat received yet
    joining, //!< runs, but does not have the lists in force yet; owns nothing
    live,
    leaving, //!< completes its requests and forwards new ones; owns nothing
    gone     //!< ended, or silent for longer than the timeout
};

//! Gossip record of one member. A record with a higher incarnation, or with the same incarnation and a higher
//! sequence, replaces the known one. The description in a brief record has only the id and the incarnation;
//! such a record refreshes a known member.
struct member_record
{
    member_description description;
    member_state state = member_state::live;
    std::uint64_t sequence = 0; //!< heartbeats that this incarnation has sent
    bool is_brief = false;      //!< the description has only the id and the incarnation
};

using gossip = std::vector<member_record>;

struct membership_configuration
{
    std::chrono::milliseconds heartbeat_interval{500};
    std::chrono::milliseconds gone_timeout{3000};
    std::size_t domain_targets = 8;     //!< members inside the failure domain that each round is sent to
    std::size_t random_targets = 8;     //!< members outside the failure domain that each round is sent to
    std::size_t max_gossip_records = 6; //!< in one heartbeat
};
} // namespace buckthornhill::membership
