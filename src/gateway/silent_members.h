#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "global/units.h"
#include "membership/membership_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Instances that were live and are silent, and whether they have ended. An instance that refuses connections
//! while another one of its failure domain accepts them has ended: a domain that is cut off would refuse
//! both. In the own domain the refusal is enough. If an instance alone is cut off that way, it is left with
//! the requests of its own callers, which are few.
class silent_members
{
public:
    silent_members(boost::asio::io_context& context, instance_id self, domain_id domain,
                   std::chrono::milliseconds timeout, std::function<void()> on_change);

    //! `departed` have announced their end. Looks for ends only when `probes` is true.
    void update(time_point now, const std::vector<membership::member_description>& live,
                const std::set<instance_id>& departed, bool probes);
    //! Those that fell silent some seconds ago and may still run.
    std::set<instance_id> silent(time_point now) const;
    //! All that were live in the last hour and no longer are, and are known to have ended.
    std::size_t ended_count() const;

private:
    using member = membership::member_description;
    struct silent_member
    {
        member description;
        time_point since;
        time_point next_probe;
        bool has_ended = false;
    };

    void probe(const member& silent);
    //! Connects to one of the others, beginning with `first`.
    void probe_others(const instance_id& silent, std::vector<member> others, std::size_t first);
    void on_probed(const instance_id& silent, bool has_ended);

    boost::asio::io_context& context;
    instance_id self;
    domain_id domain;
    std::chrono::milliseconds timeout;
    std::function<void()> on_change;
    std::map<instance_id, member> last_live;
    std::map<instance_id, silent_member> members;
};
} // namespace buckthornhill::gateway
