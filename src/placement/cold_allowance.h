#pragma once

#include <map>

#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::placement {
//! Spaces this instance's requests to cold upstreams so that all instances together stay within the rate.
class cold_allowance
{
public:
    //! The rate is divided by this many instances. It rises at once and falls only after the views had time
    //! to agree, so that instances that disagree send too little rather than too much.
    void set_instances(time_point now, std::size_t count)
    {
        const bool has_settled = now - this->counted_at > settle_time;
        if (count >= this->instances || has_settled) {
            this->instances = std::max<std::size_t>(1, count);
            this->counted_at = now;
        }
    }

    bool may_send(time_point now, const upstream_id& upstream) const
    {
        const auto found = this->next_send.find(upstream);
        return found == this->next_send.end() || now >= found->second;
    }

    void on_sent(time_point now, const upstream_id& upstream, double requests_per_second)
    {
        const double spacing_s = static_cast<double>(this->instances) / requests_per_second;
        this->next_send[upstream] =
            now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(spacing_s));
    }

    void forget_before(time_point now)
    {
        std::erase_if(this->next_send, [now](const auto& item) { return item.second < now; });
    }

private:
    //! Longer than a cut or an outage of some instances usually lasts.
    static constexpr std::chrono::seconds settle_time{20};

    std::map<upstream_id, time_point> next_send;
    std::size_t instances = 1;
    time_point counted_at{};
};
} // namespace buckthornhill::placement
