#pragma once

#include "admission/admission_types.h"
#include "admission/recent_peak.h"
#include "ownership/ownership_types.h"

namespace buckthornhill::admission {
//! Exact count of the slots that an owner uses at one upstream, and the number that it may use.
class upstream_slots
{
public:
    upstream_slots(ownership::upstream_description description, time_point now,
                   const admission_configuration& configuration);

    const ownership::upstream_description& description() const { return this->upstream; }
    void update(const ownership::upstream_description& description) { this->upstream = description; }

    //! Slots usable now: those of the upstream, reduced by slow start, by recent sheds and by the slots that
    //! others appear to use.
    std::int64_t limit(time_point now) const;
    bool has_room(time_point now) const { return this->admits() && this->running < this->limit(now); }
    //! Hash of the id, for rendezvous hashing.
    std::uint64_t id_hash() const { return this->hash_of_id; }
    std::int64_t in_flight() const { return this->running; }
    bool admits() const { return this->state == admittance::open; }
    bool is_unverified() const { return this->state == admittance::unverified; }
    void set_admittance(time_point now, admittance value);
    //! Restarts the slow start, for example after this process was paused.
    void restart_slow_start(time_point now) { this->slow_start_begin = now; }

    void on_start(time_point now);
    void on_finish(time_point now, attempt_result result);
    //! Handles the upstream's own report of its running requests. It can lower the limit but never raises it.
    void on_load_report(time_point now, std::int64_t reported_in_use);

private:
    std::int64_t slow_start_limit(time_point now) const;

    ownership::upstream_description upstream;
    std::uint64_t hash_of_id;
    admission_configuration configuration;
    time_point slow_start_begin;
    admittance state = admittance::open;
    std::int64_t running = 0;
    recent_peak own_peak;
    std::int64_t used_by_others = 0; //!< slots that others appear to use
    time_point used_by_others_until{};
    std::int64_t shed_penalty = 0;
    time_point shed_until{};
};
} // namespace buckthornhill::admission
