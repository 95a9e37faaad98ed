#pragma once

#include <map>
#include <vector>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::placement {
//! Keeps the requests of all instances to one cold upstream within its rate, with no message between them.
//! A few instances, as many as the rate has requests a second, may send to it at all, each its part: they are
//! drawn by rendezvous hashing over every instance that was known lately.
class cold_upstream_limiter
{
public:
    explicit cold_upstream_limiter(instance_id self)
        : self(std::move(self))
    {
    }

    //! Instances that are registered or were heard of. One that is missing counts on for a while, so that
    //! instances that lose sight of each other do not all take its part.
    void set_instances(time_point now, const std::vector<instance_id>& known);

    //! `requests_per_second` is the rate that `upstream` bears from all instances together.
    bool may_send(time_point now, const upstream_id& upstream, double requests_per_second) const;
    void on_sent(time_point now, const upstream_id& upstream, double requests_per_second);
    void remove_expired(time_point now);

private:
    std::size_t sender_count(double requests_per_second) const;

    instance_id self;
    std::map<instance_id, time_point> last_known_at;
    std::map<upstream_id, time_point> next_send_at;
};
} // namespace buckthornhill::placement
