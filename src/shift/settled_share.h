#pragma once

#include <deque>
#include <utility>

#include "global/units.h"

namespace buckthornhill::shift {
//! A share of a cap. A decrease applies at once, an increase only after the settle time. While instances
//! disagree about membership, two owners may both count the same slot; the delay keeps the sum of all shares
//! within the cap.
class settled_share
{
public:
    void set(time_point now, double share)
    {
        if (this->changes.empty() || this->changes.back().second != share) {
            this->changes.emplace_back(now, share);
        }
    }

    double value(time_point now, duration settle_time)
    {
        //! NOTE A share stays relevant until the next one has been set for at least the settle time.
        while (this->changes.size() > 1 && now - this->changes[1].first >= settle_time) {
            this->changes.pop_front();
        }
        double lowest = this->changes.empty() ? 0.0 : this->changes.front().second;
        for (const auto& [since, share] : this->changes) {
            lowest = share < lowest ? share : lowest;
        }
        return lowest;
    }

private:
    std::deque<std::pair<time_point, double>> changes;
};
} // namespace buckthornhill::shift
