#pragma once

#include <array>
#include <map>
#include <vector>

#include "burn/burn_types.h"

namespace buckthornhill::burn {
//! Counts good and bad requests in buckets of one minute that cover the longest window.
class burn_recorder
{
public:
    explicit burn_recorder(const burn_objectives& objectives);

    //! `is_done` is false for an outcome other than done.
    void record_response(time_point now, const service_id& service, customer_group group, bool is_done,
                         duration response_time);
    burn_counts counts(time_point now, const service_id& service, customer_group group,
                       std::chrono::minutes window) const;
    std::vector<service_id> services() const;
    const burn_objectives& objectives() const { return this->targets; }

private:
    static constexpr std::size_t bucket_count = 361;
    struct bucket
    {
        std::int64_t minute = -1;
        burn_counts counts;
    };
    using bucket_ring = std::array<bucket, bucket_count>;

    burn_objectives targets;
    std::map<std::pair<service_id, customer_group>, bucket_ring> bucket_rings;
};
} // namespace buckthornhill::burn
