#pragma once

#include <map>

#include "requests/requests_types.h"

namespace buckthornhill::node {
//! Tickets lent by peers, so that a look-up response can include tickets of the entry instance that it
//! lists first.
class peer_ticket_pool
{
public:
    void add(const instance_id& lender, const requests::ticket_block& block) { this->blocks[lender] = block; }

    //! Up to `count` tickets of `lender`; an empty block when none of `incarnation` are left.
    requests::ticket_block claim(const instance_id& lender, incarnation_id incarnation, std::uint64_t count)
    {
        const auto found = this->blocks.find(lender);
        if (found == this->blocks.end() || found->second.incarnation != incarnation ||
            found->second.count < count) {
            return {};
        }
        auto& block = found->second;
        const requests::ticket_block claimed{block.incarnation, block.first, count};
        block.first += ticket_number(count);
        block.count -= count;
        return claimed;
    }

    bool is_low(const instance_id& lender, std::uint64_t minimum) const
    {
        const auto found = this->blocks.find(lender);
        return found == this->blocks.end() || found->second.count < minimum;
    }

private:
    std::map<instance_id, requests::ticket_block> blocks;
};
} // namespace buckthornhill::node
