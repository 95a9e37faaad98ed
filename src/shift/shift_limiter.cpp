#include "shift/shift_limiter.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::shift {
namespace {
constexpr double burst_seconds = 0.25;

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}
} // namespace

shift_limiter::shift_limiter(const shift_configuration& settings)
    : configuration(settings)
{
}

void shift_limiter::set_service_share(time_point now, const service_id& service, std::int64_t owned,
                                      std::int64_t total)
{
    this->services[service].owned_slots.set(now, static_cast<double>(std::min(owned, total)));
}

void shift_limiter::set_link_share(time_point now, std::int64_t owned, std::int64_t total)
{
    this->link_share.set(now, total > 0 ? static_cast<double>(owned) / static_cast<double>(total) : 0.0);
}

void shift_limiter::on_demand(time_point now, const service_id& service)
{
    auto& state = this->services[service];
    if (!state.has_demand || now - state.last_demand > this->configuration.idle_reset) {
        state.ramp_start = now;
        state.has_demand = true;
    }
    state.last_demand = now;
}

std::int64_t shift_limiter::cap(time_point now, const service_id& service)
{
    auto& state = this->services[service];
    if (!state.has_demand || now - state.last_demand > this->configuration.idle_reset) {
        return 0;
    }
    const auto elapsed = seconds_of(now - state.ramp_start) / seconds_of(this->configuration.ramp_time);
    const auto initial = this->configuration.initial_fraction;
    const auto ramp = std::min(1.0, initial + (1.0 - initial) * elapsed);
    const auto owned = state.owned_slots.value(now, this->configuration.view_settle_time);
    return static_cast<std::int64_t>(std::floor(this->configuration.cap_fraction * owned * ramp));
}

void shift_limiter::refill(time_point now, link_bucket& bucket)
{
    const auto share = this->link_share.value(now, this->configuration.view_settle_time);
    const auto rate = this->configuration.link_bytes_per_second * this->configuration.link_fraction * share;
    if (bucket.refilled_at == time_point{}) {
        bucket.tokens = rate * burst_seconds;
    } else {
        bucket.tokens += rate * seconds_of(now - bucket.refilled_at);
    }
    bucket.tokens = std::min(bucket.tokens, rate * burst_seconds);
    bucket.refilled_at = now;
}

bool shift_limiter::link_has_room(time_point now, const region_id& region)
{
    auto& bucket = this->links[region];
    this->refill(now, bucket);
    return bucket.tokens > 0;
}

void shift_limiter::on_bytes(time_point now, const region_id& region, byte_count bytes)
{
    auto& bucket = this->links[region];
    this->refill(now, bucket);
    bucket.tokens -= static_cast<double>(bytes.value());
}
} // namespace buckthornhill::shift
