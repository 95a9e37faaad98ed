#pragma once

#include <optional>
#include <vector>

#include "global/fingerprint.h"
#include "global/units.h"

namespace buckthornhill::quarantine {
//! Requests that completed lately, in a table of fixed size: a later completion replaces an earlier one of
//! the same slot, so that those which complete often stay.
class completion_memory
{
public:
    explicit completion_memory(std::size_t capacity)
        : slots(capacity)
    {
    }

    void record(time_point now, fingerprint request_fingerprint)
    {
        this->slots[this->index_of(request_fingerprint)] = {request_fingerprint, now};
    }

    std::optional<time_point> latest(fingerprint request_fingerprint) const
    {
        const auto& found = this->slots[this->index_of(request_fingerprint)];
        const bool is_known =
            found.request_fingerprint == request_fingerprint && found.completed_at != time_point{};
        return is_known ? std::optional(found.completed_at) : std::nullopt;
    }

private:
    struct slot
    {
        fingerprint request_fingerprint;
        time_point completed_at{};
    };

    std::size_t index_of(fingerprint request_fingerprint) const
    {
        return request_fingerprint.low_bits() % this->slots.size();
    }

    std::vector<slot> slots;
};
} // namespace buckthornhill::quarantine
