#include "placement/cold_allowance.h"

#include <algorithm>
#include <cmath>

#include "global/hash.h"

namespace buckthornhill::placement {
namespace {
//! Longer than a cut or an outage of some instances usually lasts.
constexpr std::chrono::seconds memory{20};
//! Arrivals are spread by the network, so a part is kept a little smaller than it could be.
constexpr double spacing_margin = 1.05;
} // namespace

void cold_allowance::set_instances(time_point now, const std::vector<instance_id>& known)
{
    for (const auto& instance : known) {
        this->last_known[instance] = now;
    }
    std::erase_if(this->last_known, [now](const auto& item) { return now - item.second > memory; });
}

std::size_t cold_allowance::sponsor_count(double requests_per_second) const
{
    const auto others = this->last_known.size() - this->last_known.count(this->self);
    const auto wanted = static_cast<std::size_t>(std::max(1.0, std::floor(requests_per_second)));
    return std::min(wanted, others + 1);
}

bool cold_allowance::may_send(time_point now, const upstream_id& upstream, double requests_per_second) const
{
    const auto next = this->next_send.find(upstream);
    if (next != this->next_send.end() && now < next->second) {
        return false;
    }
    const auto key = hash_text(upstream.str());
    const auto own_rank = rendezvous_weight(hash_text(this->self.str()), key);
    const auto before =
        std::count_if(this->last_known.begin(), this->last_known.end(), [&](const auto& item) {
            return item.first != this->self && rendezvous_weight(hash_text(item.first.str()), key) > own_rank;
        });
    return static_cast<std::size_t>(before) < this->sponsor_count(requests_per_second);
}

void cold_allowance::on_sent(time_point now, const upstream_id& upstream, double requests_per_second)
{
    const auto sponsors = static_cast<double>(this->sponsor_count(requests_per_second));
    //! NOTE Whole requests a second for each sponsor, so that no second sees more than the rate.
    const double each_per_second = requests_per_second / sponsors;
    const double spacing_s =
        spacing_margin / (each_per_second >= 1 ? std::floor(each_per_second) : each_per_second);
    this->next_send[upstream] =
        now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(spacing_s));
}

void cold_allowance::forget_before(time_point now)
{
    std::erase_if(this->next_send, [now](const auto& item) { return item.second < now; });
}
} // namespace buckthornhill::placement
