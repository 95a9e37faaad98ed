#include "soak_run.h"

namespace buckthornhill::soak {
using std::chrono::milliseconds;

namespace {
constexpr std::uint64_t shortest_away_ms = 200;
constexpr std::uint64_t away_range_ms = 800;
constexpr std::uint64_t stays_period = 4; //!< one restore in so many closes no connection
//! Upstreams renew their registrations at this interval.
constexpr std::uint64_t renewal_interval_ms = 1500;

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

void soak_run::restore_store(const scheduled_fault& fault)
{
    this->store.take_copy();
    this->calls.run_after(fault.duration, [this, variant = fault.variant] {
        if (this->is_injection_over) {
            return;
        }
        const milliseconds away(variant % stays_period == 0 ? 0 : shortest_away_ms + variant % away_range_ms);
        const auto until_written = away + milliseconds(variant / away_range_ms % renewal_interval_ms);
        this->record.faults.on_store_fault(now(), now() + until_written);
        this->store.restore_copy(away);
        this->calls.run_after(until_written, [this] { this->write_again(); });
    });
}

void soak_run::write_again()
{
    this->put_current_configuration();
    this->upstreams->register_again();
}
} // namespace buckthornhill::soak
