#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

//! Which entry instances run: heartbeats with bounded gossip, the platform's lagging list only as a seed.
namespace buckthornhill::membership {
//! What an entry instance says about itself; fixed for one incarnation.
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
    seeded,  //!< named by the platform, not heard of yet
    joining, //!< runs, but does not know the lists in force yet; owns nothing
    live,
    leaving, //!< finishes its work and forwards; owns nothing
    gone     //!< ended, or silent for longer than the timeout
};

//! One member as gossip carries it. A higher incarnation, then a higher sequence, replaces a lower one.
//! In a brief record the description has only the id and the incarnation; it renews a record that is known.
struct member_record
{
    member_description description;
    member_state state = member_state::live;
    std::uint64_t sequence = 0; //!< heartbeats that this incarnation has sent
    bool is_brief = false;      //!< see above
};

using gossip = std::vector<member_record>;

struct membership_configuration
{
    std::chrono::milliseconds heartbeat_interval{500};
    std::chrono::milliseconds gone_timeout{3000};
    std::size_t domain_targets = 8;     //!< peers of the failure domain that each round goes to
    std::size_t random_targets = 8;     //!< peers outside the failure domain that each round goes to
    std::size_t max_gossip_records = 6; //!< in one heartbeat
};
} // namespace buckthornhill::membership
