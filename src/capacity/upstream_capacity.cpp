#include "capacity/upstream_capacity.h"

#include <algorithm>
#include <cmath>

namespace buckthornhill::capacity {
namespace {
//! An instance of a large deployment sees about one response of each upstream in 8 to 16 s. With 60 s instead
//! of 120 s, the memory holds too few of them to tell a speed from noise.
constexpr std::chrono::seconds evidence_half_life{120};
constexpr double max_bin_weight = 24; //!< at high rates, older samples are forgotten earlier than by age
//! Standard deviation of the logarithm of work times, as assumed without samples, and its bounds.
constexpr double initial_deviation = 0.4;
constexpr double min_deviation = 0.15;
constexpr double max_deviation = 0.8;
constexpr double variance_smoothing = 1.0 / 64;
constexpr double max_log_ratio = 2.5;
//! Speeds of one service are assumed to differ by a factor of two (standard deviation of their logarithm).
constexpr double speed_deviation = 0.7;
//! Smaller differences are within the error of an instance's few samples; acting on them would move objects.
constexpr double min_relevant_speed = 1.5;
//! In standard errors. One sample is acted on only from 2.7 times the usual time on, three samples from 1.8
//! times on; few upstreams that are as fast as others exceed this by chance.
constexpr double min_significance = 2.5;
constexpr double slots_prior = 0.9; //!< probability that the limit equals the slots, before any sample
//! Samples of requests that overlap are not independent and count for half.
constexpr double independent_share = 0.5;
//! Probabilities of a limit below the slots from which on it begins to count, and counts in full.
constexpr double min_probability = 0.5;
constexpr double full_probability = 0.9;
constexpr double limit_smoothing = 0.25; //!< averages over about four samples
//! Bounds of the cumulative sum test, in standard deviations: a change to a time 2.5 times as long is noticed
//! after about six samples.
constexpr double change_allowance = 1;
constexpr double change_threshold = 8;
constexpr double change_suspicion = 2;
constexpr double max_deviations = 3;
constexpr double max_noise_deviations = 2; //!< larger ones hardly come from noise
constexpr float kept_after_change = 0.1F;  //!< of the weight of older samples
constexpr float kept_below_change = 0.5F;  //!< when the work takes longer

double growth(double load, double limit)
{
    return std::max(0.0, std::log(load / limit));
}
} // namespace

observed_load load_during(std::int64_t at_response, std::optional<double> at_sending, slot_count slots)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(1, slots.value()));
    const double last = static_cast<double>(std::max<std::int64_t>(0, at_response)) + 1;
    const double first = at_sending ? std::max(0.0, *at_sending) + 1 : last;
    const double running = (std::min(first, capacity) + std::min(last, capacity)) / 2;
    return {running, (first + last) / 2 - running};
}

upstream_capacity::upstream_capacity(slot_count slots)
    : slots(std::max(slots, slot_count(1)))
    , bins{}
    , variance(initial_deviation * initial_deviation)
{
    this->fitted.limit = static_cast<float>(this->slots.value());
}

std::size_t upstream_capacity::bin_count() const
{
    return static_cast<std::size_t>(std::min<std::int64_t>(max_bins, this->slots.value()));
}

std::size_t upstream_capacity::bin_of(double running) const
{
    const auto count = static_cast<double>(this->bin_count());
    const double position = std::round(running * count / static_cast<double>(this->slots.value()));
    return static_cast<std::size_t>(std::clamp(position, 1.0, count) - 1);
}

double upstream_capacity::candidate_limit(std::size_t index) const
{
    return static_cast<double>(index + 1) * static_cast<double>(this->slots.value()) /
           static_cast<double>(this->bin_count());
}

double upstream_capacity::bin_load(std::size_t index) const
{
    const double width = static_cast<double>(this->slots.value()) / static_cast<double>(this->bin_count());
    return this->candidate_limit(index) - (width - 1) / 2;
}

double upstream_capacity::total_weight() const
{
    double sum = 0;
    for (const auto& each : this->bins) {
        sum += each.weight;
    }
    return sum;
}

double upstream_capacity::kept_share(time_point now) const
{
    const std::chrono::duration<double> age = std::max(duration{}, now - this->updated_at);
    return std::exp2(-age.count() / std::chrono::duration<double>(evidence_half_life).count());
}

void upstream_capacity::forget(double kept)
{
    for (auto& each : this->bins) {
        each.weight *= static_cast<float>(kept);
    }
}

void upstream_capacity::detect_change(double deviation, std::size_t bin_index)
{
    const double bounded = std::clamp(deviation, -max_deviations, max_deviations);
    this->slower_sum = static_cast<float>(std::max(0.0, this->slower_sum + bounded - change_allowance));
    this->faster_sum = static_cast<float>(std::max(0.0, this->faster_sum - bounded - change_allowance));
    if (std::max(this->slower_sum, this->faster_sum) > change_threshold) {
        const float kept_below = this->slower_sum > this->faster_sum ? kept_below_change : kept_after_change;
        for (std::size_t index = 0; index < max_bins; ++index) {
            this->bins[index].weight *= index < bin_index ? kept_below : kept_after_change;
        }
        this->slower_sum = 0;
        this->faster_sum = 0;
    }
}

void upstream_capacity::update_variance(double residual)
{
    if (std::max(this->slower_sum, this->faster_sum) > change_suspicion) {
        return; // the samples of a change are not noise
    }
    const double bound = max_noise_deviations * std::sqrt(this->variance);
    const double bounded = std::clamp(residual, -bound, bound);
    const double mean = this->variance + (bounded * bounded - this->variance) * variance_smoothing;
    this->variance =
        static_cast<float>(std::clamp(mean, min_deviation * min_deviation, max_deviation * max_deviation));
}

void upstream_capacity::observe(time_point now, const work_sample& sample)
{
    if (!std::isfinite(sample.log_time_ratio) || !(sample.weight > 0)) {
        return;
    }
    const double ratio = std::clamp(sample.log_time_ratio, -max_log_ratio, max_log_ratio);
    const double expected =
        this->growth_at(now, sample.running) + this->fitted.log_time * this->kept_share(now);
    const double residual = ratio - expected;
    const double deviation = std::sqrt(this->variance);
    this->forget(this->kept_share(now));
    this->updated_at = std::max(this->updated_at, now);
    this->detect_change(residual / deviation, this->bin_of(sample.running));
    this->update_variance(residual);
    auto& target = this->bins[this->bin_of(sample.running)];
    const double weight = std::min(sample.weight, 1.0);
    target.weight = static_cast<float>(std::min(target.weight + weight, max_bin_weight));
    target.mean += static_cast<float>((ratio - target.mean) * weight / target.weight);
    this->update_fit();
}

void upstream_capacity::update_fit()
{
    const auto count = this->bin_count();
    const double prior_weight = this->variance / (speed_deviation * speed_deviation);
    const double weight = this->total_weight() + prior_weight;
    std::array<double, max_bins> log_times{};
    std::array<double, max_bins> scores{};
    for (std::size_t candidate = 0; candidate < count; ++candidate) {
        std::array<double, max_bins> levels{}; //!< of each bin, without the growth beyond the limit
        double sum = 0;
        for (std::size_t index = 0; index < count; ++index) {
            levels[index] =
                this->bins[index].mean - growth(this->bin_load(index), this->candidate_limit(candidate));
            sum += this->bins[index].weight * levels[index];
        }
        const double log_time = sum / weight;
        double error = prior_weight * log_time * log_time;
        for (std::size_t index = 0; index < count; ++index) {
            error += this->bins[index].weight * (levels[index] - log_time) * (levels[index] - log_time);
        }
        const bool is_slots = candidate + 1 == count;
        const double prior = is_slots ? slots_prior : (1 - slots_prior) / static_cast<double>(count - 1);
        log_times[candidate] = log_time;
        scores[candidate] = std::log(prior) - independent_share * error / (2 * this->variance);
    }
    const double best =
        *std::max_element(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count));
    double total = 0;
    double mean_reduction = 0; //!< of the limit below the slots
    double log_time = 0;
    for (std::size_t candidate = 0; candidate < count; ++candidate) {
        const double probability = std::exp(scores[candidate] - best);
        total += probability;
        log_time += probability * log_times[candidate];
        mean_reduction += probability * (this->candidate_limit(count - 1) - this->candidate_limit(candidate));
    }
    const double reduced_probability = 1 - std::exp(scores[count - 1] - best) / total;
    const double counted =
        std::clamp((reduced_probability - min_probability) / (full_probability - min_probability), 0.0, 1.0);
    const double limit = static_cast<double>(this->slots.value()) - counted * mean_reduction / total;
    this->fitted.limit += static_cast<float>((limit - this->fitted.limit) * limit_smoothing);
    this->fitted.log_time = static_cast<float>(log_time / total);
}

capacity_estimate upstream_capacity::estimate(time_point now) const
{
    const double kept = this->kept_share(now);
    const auto slots_limit = static_cast<double>(this->slots.value());
    const double log_time = this->fitted.log_time * kept;
    const double evidence = this->total_weight() * kept;
    const double standard_error = std::sqrt(this->variance / evidence);
    const bool is_relevant = evidence > 0 && std::abs(log_time) >= std::log(min_relevant_speed) &&
                             std::abs(log_time) >= min_significance * standard_error;
    return {slots_limit - (slots_limit - this->fitted.limit) * kept, is_relevant ? std::exp(-log_time) : 1,
            evidence};
}

double upstream_capacity::growth_at(time_point now, double running) const
{
    return growth(this->bin_load(this->bin_of(running)), this->estimate(now).limit);
}

double upstream_capacity::expected_log_ratio(time_point now, double running) const
{
    constexpr double own_share = 0.5;
    return this->growth_at(now, running) + own_share * this->fitted.log_time * this->kept_share(now);
}
} // namespace buckthornhill::capacity
