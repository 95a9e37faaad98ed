#pragma once

#include <map>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "placement/placement_types.h"

namespace buckthornhill::placement {
//! Limits the rate of requests that all instances together send to one cold upstream, without messages
//! between the instances. Only a few instances may send to it, at most one for each request per second of the
//! rate, and each gets an equal part of the rate. They are chosen by rendezvous hashing over all instances
//! that were known lately.
class cold_upstream_limiter
{
public:
    explicit cold_upstream_limiter(instance_id self)
        : self(std::move(self))
    {
    }

    //! An instance that is silent or no longer known still counts for a long time, unless it has left, so
    //! that instances that lose contact do not all use its part of the rate.
    void set_instances(time_point now, const std::vector<known_instance>& known);

    //! This instance and all others that were known lately.
    std::size_t lately_known_count() const;

    //! `requests_per_second` is the rate that `upstream` can handle from all instances together.
    bool may_send(time_point now, const upstream_id& upstream, double requests_per_second) const;
    void on_sent(time_point now, const upstream_id& upstream, double requests_per_second);
    //! Removes upstreams to which this instance may send again.
    void remove_expired(time_point now);

private:
    //! Number of instances that may send to an upstream with this rate.
    std::size_t sender_count(double requests_per_second) const;

    instance_id self;
    std::map<instance_id, time_point> last_known_at;
    std::map<upstream_id, time_point> next_send_at;
};
} // namespace buckthornhill::placement
