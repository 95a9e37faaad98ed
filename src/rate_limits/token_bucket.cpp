#include "rate_limits/token_bucket.h"

#include <algorithm>

namespace buckthornhill::rate_limits {
double token_bucket::level(time_point now)
{
    if (now > this->updated_at) {
        const std::chrono::duration<double> passed = now - this->updated_at;
        this->filled = std::min(this->size, this->filled + this->rate * passed.count());
        this->updated_at = now;
    }
    return this->filled;
}

void token_bucket::set_limit(time_point now, double tokens_per_second, double new_size)
{
    if (tokens_per_second == this->rate && new_size == this->size) {
        return;
    }
    this->filled = std::min(this->level(now), new_size);
    this->rate = tokens_per_second;
    this->size = new_size;
    this->loans.clear();
}

token_bucket::loan_number token_bucket::lend(time_point now, std::int64_t tokens)
{
    this->loans.push_back({++this->last_loan, now, this->size - this->level(now)});
    this->filled -= static_cast<double>(tokens);
    return this->last_loan;
}

void token_bucket::give_back(time_point now, loan_number loan, std::int64_t tokens)
{
    const auto first = std::ranges::find(this->loans, loan, &loan_record::number);
    if (first == this->loans.end()) {
        return;
    }
    double regained = std::min(static_cast<double>(tokens), this->size - this->level(now));
    for (auto later = std::next(first); later != this->loans.end(); ++later) {
        regained = std::min(regained, later->room_before);
    }
    regained = std::max(regained, 0.0);
    for (auto later = std::next(first); later != this->loans.end(); ++later) {
        later->room_before -= regained;
    }
    this->filled += regained;
}

void token_bucket::forget_loans_before(time_point oldest)
{
    while (!this->loans.empty() && this->loans.front().lent_at < oldest) {
        this->loans.pop_front();
    }
}

duration token_bucket::time_until(time_point now, double tokens)
{
    const double missing = tokens - this->level(now);
    if (missing <= 0) {
        return {};
    }
    constexpr double max_wait_s = 3600;
    const double seconds = this->rate > 0 ? std::min(missing / this->rate, max_wait_s) : max_wait_s;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}
} // namespace buckthornhill::rate_limits
