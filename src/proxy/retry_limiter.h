#pragma once

#include <array>
#include <cstdint>

#include "global/units.h"

namespace buckthornhill::proxy {
//! Limits retries to a share of the first attempts within a sliding window.
class retry_limiter
{
public:
    explicit retry_limiter(duration length)
        : bucket_length(length / bucket_count)
    {
    }

    void on_first_attempt(time_point now) { ++this->bucket_at(now).first_attempts; }

    //! Counts a retry unless the retries in the window would then exceed `ratio` times its first attempts
    //! plus `burst`. Returns whether it was counted.
    bool try_spend(time_point now, double ratio, double burst)
    {
        auto& current = this->bucket_at(now);
        double first_attempts = 0;
        double retries = 0;
        for (const auto& bucket : this->buckets) {
            first_attempts += static_cast<double>(bucket.first_attempts);
            retries += static_cast<double>(bucket.retries);
        }
        if (retries + 1 > first_attempts * ratio + burst) {
            return false;
        }
        ++current.retries;
        return true;
    }

private:
    struct bucket
    {
        std::int64_t number = -1;
        std::uint64_t first_attempts = 0;
        std::uint64_t retries = 0;
    };

    //! Buckets in the window. One more is kept, so that the start of the window is covered too.
    static constexpr std::size_t bucket_count = 10;

    bucket& bucket_at(time_point now)
    {
        const auto number = static_cast<std::int64_t>(now.time_since_epoch() / this->bucket_length);
        for (auto& candidate : this->buckets) {
            if (candidate.number <= number - static_cast<std::int64_t>(this->buckets.size())) {
                candidate = bucket{};
            }
        }
        auto& current = this->buckets[static_cast<std::size_t>(number) % this->buckets.size()];
        current.number = number;
        return current;
    }

    duration bucket_length;
    std::array<bucket, bucket_count + 1> buckets;
};
} // namespace buckthornhill::proxy
