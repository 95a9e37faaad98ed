#pragma once

#include "global/units.h"

namespace buckthornhill::gateway {
struct leave_configuration
{
    duration linger{}; //!< how long callers may use a look-up response that names this instance
    duration grace{};  //!< from the stop signal until the process is killed
};

//! Phases of a planned stop: new requests are served as long as they are certain to end in time, then refused
//! so that those in progress can complete. The process ends when it is idle and look-up responses have
//! expired, or when the grace period is nearly over.
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
    //! Whether a request may be taken that ends at `latest_end` at the latest, by its timeout.
    bool accepts_request(time_point now, time_point latest_end) const
    {
        if (!this->has_begun) {
            return true;
        }
        const auto last_end = this->started_at + this->share_of_grace(usable_share) - response_time;
        return now - this->started_at < this->share_of_grace(accepting_share) && latest_end <= last_end;
    }
    bool is_over(time_point now, bool has_requests) const
    {
        const auto elapsed = now - this->started_at;
        const bool is_idle = !has_requests && elapsed >= this->configuration.linger;
        return this->has_begun && (is_idle || elapsed >= this->share_of_grace(usable_share));
    }

private:
    //! Leaves time for requests that were accepted before.
    static constexpr double accepting_share = 0.5;
    //! For the last response to leave the process.
    static constexpr std::chrono::milliseconds response_time{100};
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
