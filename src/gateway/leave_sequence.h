#pragma once

#include "global/units.h"

namespace buckthornhill::gateway {
struct leave_configuration
{
    duration linger{}; //!< how long callers may use a look-up response that names this instance
    duration grace{};  //!< from the stop signal until the process is killed
};

//! Phases of a planned stop: new requests are first served, then refused so that those in progress can
//! complete. The process ends when it is idle and look-up responses have expired, or when the grace period is
//! nearly over.
class leave_sequence
{
public:
    void begin(time_point now, const leave_configuration& settings)
    {
        if (!this->has_begun) {
            this->has_begun = true;
            this->started_at = now;
            this->configuration = settings;
        }
    }

    bool is_leaving() const { return this->has_begun; }
    bool accepts_requests(time_point now) const
    {
        return !this->has_begun || now - this->started_at < this->share_of_grace(accepting_share);
    }
    bool is_over(time_point now, bool has_requests) const
    {
        const auto elapsed = now - this->started_at;
        const bool is_idle = !has_requests && elapsed >= this->configuration.linger;
        return this->has_begun && (is_idle || elapsed >= this->share_of_grace(usable_share));
    }

private:
    //! Requests accepted later might not complete before the process is killed.
    static constexpr double accepting_share = 0.5;
    //! The rest of the grace period is for stopping the threads.
    static constexpr double usable_share = 0.95;

    duration share_of_grace(double share) const
    {
        return std::chrono::duration_cast<duration>(this->configuration.grace * share);
    }

    leave_configuration configuration;
    time_point started_at{};
    bool has_begun = false;
};
} // namespace buckthornhill::gateway
