#include "node/entry_lookup.h"

#include <algorithm>
#include <functional>

namespace buckthornhill::node {
namespace {
constexpr std::uint64_t refill_divisor =
    4; //!< the next block is requested when less than this fraction of one is left
}

entry_lookup::entry_lookup(node_components& shared_components, const node_configuration& settings,
                           random_hook random_source)
    : components(shared_components)
    , configuration(settings)
    , random(std::move(random_source))
{
}

void entry_lookup::set_reachable(const instance_id& peer, bool is_reachable_now)
{
    if (is_reachable_now) {
        this->unreachable_peers.erase(peer);
    } else {
        this->unreachable_peers.insert(peer);
    }
}

void entry_lookup::on_lent_tickets(const instance_id& lender, const requests::ticket_block& block)
{
    this->ticket_pool.add(lender, block);
}

bool entry_lookup::needs_tickets_from(const instance_id& lender) const
{
    return this->ticket_pool.is_low(lender, this->configuration.tickets_per_peer_block / refill_divisor);
}

std::vector<membership::member_description> entry_lookup::reachable_members() const
{
    auto members = this->components.members.live_members();
    const auto is_unreachable = [this](const membership::member_description& member) {
        return !this->is_reachable(member.id);
    };
    const auto reachable = std::count_if(members.begin(), members.end(), std::not_fn(is_unreachable));
    //! NOTE If every peer seems unreachable, the fault is probably this instance's own, so all stay listed.
    if (reachable > 1 || members.size() <= 2) {
        std::erase_if(members, is_unreachable);
    }
    return members;
}

void entry_lookup::shuffle(std::vector<membership::member_description>& members)
{
    for (std::size_t i = members.size(); i > 1; --i) {
        std::swap(members[i - 1], members[this->random() % i]);
    }
}

std::vector<membership::member_description> entry_lookup::ordered_members(const region_id& region)
{
    std::vector<membership::member_description> local_members;
    std::vector<membership::member_description> remote_members;
    for (auto& member : this->reachable_members()) {
        (member.region == region ? local_members : remote_members).push_back(std::move(member));
    }
    this->shuffle(local_members);
    this->shuffle(remote_members);
    //! NOTE Entries are reserved for other regions: the caller's whole region may fail before the next
    //! look-up.
    const auto remote_places = std::min(remote_members.size(), this->configuration.reserved_remote_entries);
    local_members.resize(
        std::min(local_members.size(), this->configuration.max_lookup_entries - remote_places));
    remote_members.resize(
        std::min(remote_members.size(), this->configuration.max_lookup_entries - local_members.size()));
    local_members.insert(local_members.end(), remote_members.begin(), remote_members.end());
    return local_members;
}

requests::ticket_block entry_lookup::claim_tickets(const membership::member_description& member,
                                                   std::uint64_t count)
{
    if (member.id != this->components.members.self().description.id) {
        return this->ticket_pool.claim(member.id, member.incarnation, count);
    }
    return this->components.tickets.sealed() ? requests::ticket_block{}
                                             : this->components.tickets.issue(count);
}

lookup_response entry_lookup::respond(const service_id& service, const region_id& client_region,
                                      std::uint64_t tickets)
{
    const auto& own_region = this->components.members.self().description.region;
    const auto members = this->ordered_members(client_region.empty() ? own_region : client_region);
    lookup_response response;
    response.ttl = this->configuration.lookup_ttl;
    for (const auto& member : members) {
        response.entries.push_back({member.id, member.region, member.caller_address});
    }
    const auto ticket_count = std::min(tickets, this->configuration.max_lookup_tickets);
    if (!members.empty() && ticket_count > 0 && this->components.directory.has_service(service)) {
        response.tickets = this->claim_tickets(members.front(), ticket_count);
    }
    return response;
}
} // namespace buckthornhill::node
