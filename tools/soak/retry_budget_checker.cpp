#include "retry_budget_checker.h"

#include <algorithm>

namespace buckthornhill::soak {
namespace {
//! Elements of the sorted `times` after `from` and up to `until`.
std::ptrdiff_t count_between(const std::vector<time_point>& times, time_point from, time_point until)
{
    return std::ranges::upper_bound(times, until) - std::ranges::upper_bound(times, from);
}
} // namespace

void retry_budget_checker::on_arrival(time_point at, const std::string& request, const std::string& service)
{
    this->arrivals[request].push_back({at, service});
}

std::map<std::string, retry_budget_checker::time_points> retry_budget_checker::retries_by_service() const
{
    std::map<std::string, time_points> retries;
    for (const auto& [request, all] : this->arrivals) {
        const auto first = std::ranges::min_element(all, {}, &arrival::at);
        for (auto one = all.begin(); one != all.end(); ++one) {
            if (one != first) {
                retries[one->service].push_back(one->at);
            }
        }
    }
    for (auto& [service, times] : retries) {
        std::ranges::sort(times);
    }
    return retries;
}

retry_budget_checker::busiest_window retry_budget_checker::busiest(const std::string& service,
                                                                   const time_points& retries) const
{
    const auto known = this->sent_to.find(service);
    auto requests = known == this->sent_to.end() ? time_points{} : known->second;
    std::ranges::sort(requests);
    const auto window = this->budget.window;
    busiest_window worst;
    for (const auto end : retries) {
        const auto count = static_cast<double>(count_between(retries, end - window, end));
        const auto base = std::max({count_between(requests, end - window, end),
                                    count_between(requests, end - window * 3 / 2, end - window / 2),
                                    count_between(requests, end - 2 * window, end - window)});
        const double allowed = this->budget.ratio * static_cast<double>(base) + this->budget.burst;
        if (count * worst.allowed > worst.retries * allowed) {
            worst = {count, allowed};
        }
    }
    return worst;
}

std::vector<std::string> retry_budget_checker::violations() const
{
    std::vector<std::string> found;
    for (const auto& [service, retries] : this->retries_by_service()) {
        const auto worst = this->busiest(service, retries);
        if (worst.retries > worst.allowed) {
            found.push_back("retry budget: " + service + " got in one window " +
                            std::to_string(static_cast<int>(worst.retries)) +
                            " arrivals beyond the first; allowed are " +
                            std::to_string(static_cast<int>(worst.allowed)));
        }
    }
    return found;
}

double retry_budget_checker::largest_share() const
{
    double largest = 0;
    for (const auto& [service, retries] : this->retries_by_service()) {
        const auto worst = this->busiest(service, retries);
        largest = std::max(largest, worst.retries / worst.allowed);
    }
    return largest;
}
} // namespace buckthornhill::soak
