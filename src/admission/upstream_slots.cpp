#include "admission/upstream_slots.h"

#include <algorithm>

#include "global/hash.h"

namespace buckthornhill::admission {
upstream_slots::upstream_slots(ownership::upstream_description description, time_point now,
                               const admission_configuration& settings)
    : upstream(std::move(description))
    , hash_of_id(hash_text(this->upstream.id.str()))
    , configuration(settings)
    , slow_start_begin(now)
    , own_peak(settings.load_report_lifetime)
{
}

std::int64_t upstream_slots::slow_start_limit(time_point now) const
{
    const auto slots = this->upstream.slots.value();
    const auto elapsed = now - this->slow_start_begin;
    const duration slow_start_time = this->configuration.slow_start_time;
    if (elapsed >= slow_start_time || slots <= 1) {
        return slots;
    }
    return 1 + (slots - 1) * elapsed.count() / slow_start_time.count();
}

std::int64_t upstream_slots::limit(time_point now) const
{
    if (!this->admits()) {
        return 0;
    }
    auto usable = this->slow_start_limit(now);
    if (now < this->used_by_others_until) {
        usable -= this->used_by_others;
    }
    if (now < this->shed_until) {
        usable -= this->shed_penalty;
    }
    //! NOTE The limit is at least one request, so that a misleading report cannot leave an upstream without
    //! work.
    return std::max<std::int64_t>(usable, std::min<std::int64_t>(1, this->upstream.slots.value()));
}

void upstream_slots::set_admittance(time_point now, admittance value)
{
    if (value == admittance::open && !this->admits()) {
        this->slow_start_begin = now;
    }
    this->state = value;
}

void upstream_slots::on_start(time_point now)
{
    ++this->running;
    this->own_peak.observe(now, this->running);
}

void upstream_slots::on_finish(time_point now, attempt_result result)
{
    this->own_peak.observe(now, this->running);
    --this->running;
    if (result == attempt_result::shed) {
        const bool is_first_shed = now >= this->shed_until;
        this->shed_penalty =
            is_first_shed ? 1 : std::min(this->shed_penalty + 1, this->upstream.slots.value() - 1);
        this->shed_until = now + this->configuration.shed_backoff;
    }
}

void upstream_slots::on_load_report(time_point now, std::int64_t reported_in_use)
{
    //! NOTE The report is delayed, so it is compared with the highest recent number of this owner's requests.
    const auto excess = reported_in_use - this->own_peak.value(now);
    this->used_by_others = std::clamp<std::int64_t>(excess, 0, this->upstream.slots.value());
    this->used_by_others_until = now + this->configuration.load_report_lifetime;
}
} // namespace buckthornhill::admission
