#pragma once

#include <map>

#include "admission/admission_types.h"

namespace buckthornhill::admission {
//! Credits that an owner granted to other regions' entry instances for one service.
//! The sum granted in a round is never more than the spare, and each grant expires.
class credit_ledger
{
public:
    //! Distributes `spare` slots round robin, one at a time, among the instances that requested credits.
    void grant_round(time_point now, std::int64_t spare, duration lifetime);
    void on_credit_request(time_point now, const instance_id& instance, std::int64_t wanted);
    std::int64_t granted_to(time_point now, const instance_id& instance) const;

    bool may_start(time_point now, const instance_id& instance) const;
    void on_start(const instance_id& instance);
    void on_finish(const instance_id& instance);
    std::int64_t in_flight() const { return this->running; }

private:
    struct account
    {
        std::int64_t requested = 0;
        time_point request_valid_until{};
        std::int64_t granted = 0;
        time_point grant_valid_until{};
        std::int64_t in_flight = 0;
    };

    std::map<instance_id, account> accounts;
    std::int64_t running = 0;
    std::size_t next_first_index = 0;
};
} // namespace buckthornhill::admission
