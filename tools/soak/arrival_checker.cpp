#include "arrival_checker.h"

#include <algorithm>

namespace buckthornhill::soak {
namespace {
constexpr std::chrono::seconds cold_window{1};

//! Elements of the sorted `times` after `from` and up to `until`.
std::ptrdiff_t count_between(const std::vector<time_point>& times, time_point from, time_point until)
{
    return std::ranges::upper_bound(times, until) - std::ranges::upper_bound(times, from);
}
} // namespace

void arrival_checker::on_sent(time_point at, const std::string& request, const std::string& service)
{
    this->sent_at[request] = at;
    this->sent_to[service].push_back(at);
}

void arrival_checker::on_arrival(time_point at, const std::string& request, const std::string& upstream,
                                 const std::string& service)
{
    this->by_service[service][request].push_back(at);
    const auto sent = this->sent_at.find(request);
    this->by_upstream[upstream].push_back({at, sent == this->sent_at.end() ? at : sent->second});
}

void arrival_checker::on_cold(time_point from, time_point until, const std::string& upstream,
                              double requests_per_second)
{
    this->cold_periods.emplace(upstream, cold_period{from, until, requests_per_second});
}

void arrival_checker::check_retries(const std::string& service, time_points retries,
                                    std::vector<std::string>& found) const
{
    std::ranges::sort(retries);
    const auto known = this->sent_to.find(service);
    auto requests = known == this->sent_to.end() ? time_points{} : known->second;
    std::ranges::sort(requests);
    const auto window = this->bounds.retry_window;
    double largest_excess = 0;
    std::string worst;
    for (const auto end : retries) {
        const auto count = static_cast<double>(count_between(retries, end - window, end));
        const auto base = std::max({count_between(requests, end - window, end),
                                    count_between(requests, end - window * 3 / 2, end - window / 2),
                                    count_between(requests, end - 2 * window, end - window)});
        const double allowed =
            this->bounds.retry_ratio * static_cast<double>(base) + this->bounds.retry_burst;
        if (count - allowed > largest_excess) {
            largest_excess = count - allowed;
            worst = std::to_string(static_cast<int>(count)) + " arrivals beyond the first; allowed are " +
                    std::to_string(static_cast<int>(allowed));
        }
    }
    if (largest_excess > 0) {
        found.push_back("retry budget: " + service + " got in one window " + worst);
    }
}

void arrival_checker::check_cold(const std::string& upstream, const cold_period& period,
                                 std::vector<std::string>& found) const
{
    const auto arrivals = this->by_upstream.find(upstream);
    if (arrivals == this->by_upstream.end()) {
        return;
    }
    const double allowed =
        period.requests_per_second * this->bounds.cold_load_factor + this->bounds.cold_slack;
    std::ptrdiff_t most = 0;
    for (const auto& first : arrivals->second) {
        const auto end = std::min(first.at + cold_window, period.until);
        if (first.at < period.from) {
            continue;
        }
        most = std::max(most, std::ranges::count_if(arrivals->second, [&](const arrival& one) {
                            return one.sent_at >= first.sent_at && one.at >= first.at && one.at < end;
                        }));
    }
    if (static_cast<double>(most) > allowed) {
        found.push_back("cold rate: " + upstream + " got " + std::to_string(most) +
                        " requests in one second; allowed are " + std::to_string(static_cast<int>(allowed)));
    }
}

std::vector<std::string> arrival_checker::violations() const
{
    std::vector<std::string> found;
    for (const auto& [service, requests] : this->by_service) {
        time_points retries;
        for (const auto& [request, times] : requests) {
            auto ordered = times;
            std::ranges::sort(ordered);
            retries.insert(retries.end(), ordered.begin() + 1, ordered.end());
        }
        this->check_retries(service, std::move(retries), found);
    }
    for (const auto& [upstream, period] : this->cold_periods) {
        this->check_cold(upstream, period, found);
    }
    return found;
}
} // namespace buckthornhill::soak
