#pragma once

#include <set>

#include "node/node_components.h"
#include "node/peer_ticket_pool.h"

namespace buckthornhill::node {
//! Answers look-ups: which entry instances a caller should use, nearest region first, and tickets of the
//! first.
class entry_lookup
{
public:
    entry_lookup(node_components& components, const node_configuration& configuration, random_hook random);

    lookup_response respond(const service_id& service, const region_id& client_region, std::uint64_t tickets);

    //! The connect to a peer failed, or the peer was heard of again.
    void set_reachable(const instance_id& peer, bool is_reachable_now);
    bool is_reachable(const instance_id& peer) const { return !this->unreachable_peers.contains(peer); }

    void on_lent_tickets(const instance_id& lender, const requests::ticket_block& block);
    bool needs_tickets_from(const instance_id& lender) const;

private:
    //! Live members that callers may be sent to.
    std::vector<membership::member_description> reachable_members() const;
    std::vector<membership::member_description> ordered_members(const region_id& region);
    void shuffle(std::vector<membership::member_description>& members);
    requests::ticket_block claim_tickets(const membership::member_description& member, std::uint64_t count);

    node_components& components;
    const node_configuration& configuration;
    random_hook random;
    peer_ticket_pool ticket_pool;
    std::set<instance_id> unreachable_peers; //!< peers whose last connect failed
};
} // namespace buckthornhill::node
