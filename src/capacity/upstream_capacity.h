#pragma once

#include <array>

#include "capacity/capacity_types.h"
#include "global/units.h"

namespace buckthornhill::capacity {
//! Model of one upstream, for load beyond what it takes well: work takes a constant time up to a number of
//! requests in progress, the limit, and beyond it grows with their number, so that throughput stays the same.
//! The limit is inferred over a few candidates, starting from a strong belief in the upstream's slots;
//! without evidence to the contrary, the slots are the limit. Estimates depend on the time of work and not on
//! how many requests are sent, so instances that act on them do not feed back into each other.
class upstream_capacity
{
public:
    explicit upstream_capacity(slot_count slots);

    void observe(time_point now, const work_sample& sample);
    slot_count stated_slots() const { return this->slots; }
    capacity_estimate estimate(time_point now) const;
    //! What to expect of `work_reference`: logarithm of the work time relative to the usual one of the
    //! service. Half of the upstream's own speed is left out, so that speeds that all upstreams share become
    //! usual.
    double expected_log_ratio(time_point now, double running) const;

private:
    static constexpr std::size_t max_bins = 8;

    //! Samples with about the same number of requests in progress.
    struct bin
    {
        float weight = 0;
        float mean = 0; //!< of the logarithm of the time ratio
    };
    struct fit
    {
        float limit = 0;
        float log_time = 0; //!< below the limit, relative to the service
    };

    std::size_t bin_count() const;
    std::size_t bin_of(double running) const;
    //! Requests in progress that the bin stands for.
    double bin_load(std::size_t index) const;
    //! The limit of the candidate with this index.
    double candidate_limit(std::size_t index) const;
    void forget(double kept_share);
    //! Notices that the upstream has changed. Older samples with as many or more requests in progress are
    //! then misleading; at fewer requests, a lower limit changes nothing.
    void detect_change(double deviation, std::size_t bin_index);
    void update_variance(double residual);
    double total_weight() const;
    //! Growth of the work time beyond the limit, as a logarithm.
    double growth_at(time_point now, double running) const;
    double kept_share(time_point now) const;
    void update_fit();

    slot_count slots;
    std::array<bin, max_bins> bins;
    fit fitted;
    float variance;
    float slower_sum = 0; //!< cumulative sums of deviations towards longer and shorter times
    float faster_sum = 0;
    time_point updated_at{};
};
} // namespace buckthornhill::capacity
