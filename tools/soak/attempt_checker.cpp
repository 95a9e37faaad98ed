#include "attempt_checker.h"

#include <algorithm>
#include <set>

namespace buckthornhill::soak {
void attempt_checker::on_sent(time_point at, const std::string& request, const std::string& gateway,
                              std::chrono::milliseconds announced)
{
    auto& record = this->requests[request];
    record.sent_at = at;
    record.gateway = gateway;
    record.announced = announced;
}

void attempt_checker::on_outcome(time_point at, const std::string& request)
{
    this->requests[request].finished_at = at;
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
    const auto end = request.finished_at.value_or(request.sent_at + request.announced);
    for (const auto& one : request.arrivals) {
        if (one.is_executed && !this->faults.was_cut(one.upstream, request.sent_at, end)) {
            upstreams.insert(one.upstream);
        }
    }
    return upstreams.size();
}

bool attempt_checker::is_late_repeat(const request_record& request, const arrival& one) const
{
    const auto first = std::ranges::min_element(request.arrivals, {}, &arrival::at);
    return one.at > first->at + this->bounds.deadline_slack;
}

bool attempt_checker::has_excessive_deadline(const request_record& request, const arrival& one) const
{
    if (!one.time_left || *one.time_left > request.announced + this->bounds.deadline_slack) {
        return true;
    }
    const auto caller_end = request.sent_at + request.announced;
    const auto end = one.at + *one.time_left - this->bounds.deadline_slack;
    const auto first = std::ranges::min_element(request.arrivals, {}, &arrival::at);
    if (!this->is_late_repeat(request, one)) {
        return end > caller_end;
    }
    const auto first_end = first->time_left ? first->at + *first->time_left : caller_end;
    return end > std::max(caller_end, first_end);
}

std::vector<std::string> attempt_checker::violations() const
{
    std::size_t over_attempts = 0;
    std::size_t late_repeats = 0;
    std::size_t over_deadline = 0;
    for (const auto& [id, request] : this->requests) {
        over_attempts += this->upstreams_at_work(request) > this->bounds.max_attempts ? 1 : 0;
        for (const auto& one : request.arrivals) {
            if (!this->faults.is_in_touch(request.gateway, one.at, one.at) ||
                !this->faults.is_path_sound(one.upstream, one.at, one.at)) {
                continue;
            }
            const bool is_excessive = this->has_excessive_deadline(request, one);
            over_deadline += is_excessive ? 1 : 0;
            late_repeats += !is_excessive && this->is_late_repeat(request, one) ? 1 : 0;
        }
    }
    std::vector<std::string> found;
    if (over_attempts > this->bounds.tolerated_requests) {
        found.push_back("attempts: " + std::to_string(over_attempts) +
                        " requests ran at more upstreams than allowed");
    }
    if (over_deadline > this->bounds.tolerated_deadlines &&
        over_deadline * this->bounds.tolerated_deadline_fraction > over_deadline + late_repeats) {
        found.push_back("time left: " + std::to_string(over_deadline) +
                        " arrivals were handed more time than their callers had, beside " +
                        std::to_string(late_repeats) + " late repeats with the right time");
    }
    return found;
}
} // namespace buckthornhill::soak
