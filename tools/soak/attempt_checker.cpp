#include "attempt_checker.h"

#include <algorithm>
#include <set>

namespace buckthornhill::soak {
void attempt_checker::on_sent(time_point at, const std::string& request, std::chrono::milliseconds announced)
{
    auto& record = this->requests[request];
    record.sent_at = at;
    record.announced = announced;
}

void attempt_checker::on_arrival(time_point at, const std::string& request, const std::string& upstream,
                                 bool is_executed, std::optional<std::chrono::milliseconds> time_left)
{
    const auto found = this->requests.find(request);
    if (found != this->requests.end()) {
        found->second.arrivals.push_back({at, upstream, is_executed, time_left});
    }
}

std::size_t attempt_checker::upstreams_at_work(const request_record& request) const
{
    std::set<std::string> upstreams;
    for (const auto& one : request.arrivals) {
        if (one.is_executed && !this->lost_upstreams.contains(one.upstream)) {
            upstreams.insert(one.upstream);
        }
    }
    return upstreams.size();
}

bool attempt_checker::has_excessive_deadline(const request_record& request, const arrival& one) const
{
    if (!one.time_left || *one.time_left > request.announced + this->bounds.deadline_slack) {
        return true;
    }
    const auto first = std::ranges::min_element(request.arrivals, {}, &arrival::at);
    if (one.at <= first->at + this->bounds.deadline_slack || !first->time_left) {
        return false;
    }
    const auto latest = std::max(request.sent_at + request.announced, first->at + *first->time_left);
    return one.at + *one.time_left > latest + this->bounds.deadline_slack;
}

std::vector<std::string> attempt_checker::violations() const
{
    std::size_t over_attempts = 0;
    std::size_t arrivals = 0;
    std::size_t over_deadline = 0;
    for (const auto& [id, request] : this->requests) {
        over_attempts += this->upstreams_at_work(request) > this->bounds.max_attempts ? 1 : 0;
        for (const auto& one : request.arrivals) {
            ++arrivals;
            over_deadline += this->has_excessive_deadline(request, one) ? 1 : 0;
        }
    }
    std::vector<std::string> found;
    if (over_attempts > this->bounds.tolerated_requests) {
        found.push_back("attempts: " + std::to_string(over_attempts) +
                        " requests ran at more upstreams than allowed");
    }
    if (over_deadline > this->bounds.tolerated_deadlines &&
        over_deadline * this->bounds.tolerated_deadline_fraction > arrivals) {
        found.push_back("time left: " + std::to_string(over_deadline) + " of " + std::to_string(arrivals) +
                        " arrivals were handed more time than their callers had");
    }
    return found;
}
} // namespace buckthornhill::soak
