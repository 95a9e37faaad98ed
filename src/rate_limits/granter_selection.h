#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "global/ids.h"

namespace buckthornhill::rate_limits {
//! Chooses the instance that is responsible for an account, by rendezvous hashing over the live instances.
class granter_selection
{
public:
    void set_live(const std::vector<instance_id>& live);
    //! Empty when no instance is live. Valid until the next call of `set_live`.
    const instance_id& granter_of(const account_id& account) const;

    //! Whether `first` would be chosen before `second` if both were live.
    static bool is_before(const instance_id& first, const instance_id& second, const account_id& account);

private:
    struct candidate
    {
        std::uint64_t hash = 0;
        instance_id id;
    };

    std::vector<candidate> candidates;
    mutable std::unordered_map<account_id, instance_id> chosen; //!< since the last change of the candidates
};
} // namespace buckthornhill::rate_limits
