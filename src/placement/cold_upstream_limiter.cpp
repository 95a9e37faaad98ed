#include "placement/cold_upstream_limiter.h"

#include <algorithm>
#include <cmath>

#include "global/hash.h"

namespace buckthornhill::placement {
namespace {
//! Longer than regions lose each other. An instance that is silent may be cut off and go on using its part,
//! so it counts for so long; too many parts only make each of them smaller.
constexpr std::chrono::hours instance_retention{1};
//! Network delays vary the spacing of arrivals, so each instance sends a little slower than its part of the
//! rate.
constexpr double send_interval_margin = 1.05;
} // namespace

void cold_upstream_limiter::set_instances(time_point now, const std::vector<known_instance>& known)
{
    for (const auto& instance : known) {
        if (instance.has_left) {
            this->last_known_at.erase(instance.id);
        } else if (instance.silent_for < instance_retention) {
            auto& last_known = this->last_known_at.try_emplace(instance.id).first->second;
            last_known = std::max(last_known, now - instance.silent_for);
        }
    }
    std::erase_if(this->last_known_at,
                  [now](const auto& item) { return now - item.second > instance_retention; });
}

std::size_t cold_upstream_limiter::lately_known_count() const
{
    return this->last_known_at.size() - this->last_known_at.count(this->self) + 1;
}

std::size_t cold_upstream_limiter::sender_count(double requests_per_second) const
{
    const auto whole_requests_per_second =
        static_cast<std::size_t>(std::max(1.0, std::floor(requests_per_second)));
    return std::min(whole_requests_per_second, this->lately_known_count());
}

bool cold_upstream_limiter::may_send(time_point now, const upstream_id& upstream,
                                     double requests_per_second) const
{
    const auto next = this->next_send_at.find(upstream);
    if (next != this->next_send_at.end() && now < next->second) {
        return false;
    }
    const auto key = hash_text(upstream.str());
    const auto own_rank = rendezvous_weight(hash_text(this->self.str()), key);
    const auto ranked_higher =
        std::count_if(this->last_known_at.begin(), this->last_known_at.end(), [&](const auto& item) {
            return item.first != this->self && rendezvous_weight(hash_text(item.first.str()), key) > own_rank;
        });
    return static_cast<std::size_t>(ranked_higher) < this->sender_count(requests_per_second);
}

void cold_upstream_limiter::on_sent(time_point now, const upstream_id& upstream, double requests_per_second)
{
    const auto senders = static_cast<double>(this->sender_count(requests_per_second));
    //! NOTE Each sender gets a whole number of requests per second, so that no second exceeds the rate.
    const double sender_requests_per_second = requests_per_second / senders;
    const double send_interval_s =
        send_interval_margin / (sender_requests_per_second >= 1 ? std::floor(sender_requests_per_second)
                                                                : sender_requests_per_second);
    this->next_send_at[upstream] =
        now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(send_interval_s));
}

void cold_upstream_limiter::remove_expired(time_point now)
{
    std::erase_if(this->next_send_at, [now](const auto& item) { return item.second < now; });
}
} // namespace buckthornhill::placement
