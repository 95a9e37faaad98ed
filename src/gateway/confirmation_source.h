#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "global/ids.h"
#include "global/units.h"
#include "routing/routing_types.h"

namespace buckthornhill::gateway {
//! What an instance says of its confirmation of the configuration.
struct peer_confirmation
{
    routing::configuration_version version; //!< in force there
    std::chrono::nanoseconds age{};         //!< of the confirmation when the instance answered
};

//! Decides when to ask which instance for a confirmation. Answers the load of an outage: each instance asks
//! one other at a time and a few a second, and a confirmation spreads from any that has one to twice as many
//! in each interval.
class confirmation_source
{
public:
    explicit confirmation_source(random_hook random_numbers)
        : random(std::move(random_numbers))
    {
    }

    //! Returns the instance to ask now, if any. `is_needed` says whether the own confirmation is too old.
    std::optional<instance_id> next_to_ask(time_point now, bool is_needed,
                                           const std::vector<instance_id>& live_peers);
    //! Whether the answer confirms the configuration `own`: the store had no newer one than `answer.version`
    //! when it was confirmed.
    static bool is_valid(const peer_confirmation& answer, routing::configuration_version own)
    {
        return answer.version <= own;
    }

private:
    random_hook random;
    instance_id last_asked;
    std::optional<time_point> last_asked_at;
};
} // namespace buckthornhill::gateway
