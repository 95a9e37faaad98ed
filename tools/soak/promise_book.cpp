#include "promise_book.h"

#include <algorithm>

namespace buckthornhill::soak {
void promise_book::on_sent(time_point at, const std::string& request, const std::string& gateway,
                           bool may_repeat)
{
    auto& record = this->requests[request];
    record.sent_at = at;
    record.gateway = gateway;
    record.may_repeat = may_repeat;
}

void promise_book::on_answer(time_point at, const std::string& request, answer_kind kind)
{
    auto& record = this->requests[request];
    record.is_answered = true;
    record.answer = kind;
    record.answered_at = at;
}

void promise_book::on_run(time_point at, const std::string& request, const std::string& upstream,
                          const std::string& service)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        this->faults.push_back(upstream + " ran " + request + ", which no caller sent");
        return;
    }
    found->second.runs.push_back({at, upstream, service});
}

void promise_book::on_trouble(time_point from, time_point until)
{
    this->troubles.emplace_back(from, until);
}

void promise_book::on_planned_stop(time_point at, const std::string& gateway)
{
    this->stops.emplace(gateway, at);
}

void promise_book::on_leaving(time_point at, const std::string& upstream)
{
    this->leaving[upstream] = at;
}

bool promise_book::is_calm(time_point from, time_point until) const
{
    return std::ranges::none_of(
        this->troubles, [&](const auto& trouble) { return trouble.first < until && trouble.second > from; });
}

bool promise_book::is_stopping(const request_record& request) const
{
    const auto [first, last] = this->stops.equal_range(request.gateway);
    return std::any_of(first, last, [&](const auto& stop) {
        return request.answered_at > stop.second && request.sent_at < stop.second + this->bounds.stop;
    });
}

std::string promise_book::fault_in_run(const std::string& id, const request_record& request,
                                       const run& run) const
{
    const auto left = this->leaving.find(run.upstream);
    const bool is_late = left != this->leaving.end() && run.at > left->second + this->bounds.drain;
    if (is_late && this->is_calm(left->second - this->bounds.calm, run.at)) {
        return id + " reached " + run.upstream + " " +
               std::to_string(to_milliseconds(run.at - left->second)) + " ms after it said that it leaves";
    }
    if (id.find(moving_prefix) == std::string::npos) {
        return {};
    }
    //! The configuration that has to be in force when the request is sent, and all later ones.
    auto allowed = this->configurations.upper_bound(request.sent_at - this->bounds.configuration);
    if (allowed == this->configurations.begin()) {
        return {};
    }
    --allowed;
    const bool is_allowed = std::any_of(allowed, this->configurations.end(),
                                        [&](const auto& item) { return item.second == run.service; });
    const auto since = allowed->first - this->bounds.calm;
    const auto checked_from =
        std::max(since, request.sent_at - this->bounds.calm - this->bounds.configuration);
    if (!is_allowed && this->is_calm(checked_from, run.at)) {
        return id + " was run by " + run.service + ", as only an older configuration allows";
    }
    return {};
}

std::string promise_book::fault_in(const std::string& id, const request_record& request) const
{
    if (request.runs.size() > 1 && !request.may_repeat) {
        return id + " ran " + std::to_string(request.runs.size()) + " times";
    }
    if (request.answer == answer_kind::refused && !request.runs.empty()) {
        return id + " was refused as not run, and " + request.runs.front().upstream + " ran it";
    }
    if (request.answer == answer_kind::spoilt) {
        return id + " got a success that no upstream made for it";
    }
    const bool was_cut = request.answer == answer_kind::broken && !request.runs.empty();
    if (was_cut && this->is_stopping(request) &&
        this->is_calm(request.sent_at - this->bounds.calm, request.answered_at)) {
        return id + " was cut off by the planned stop of " + request.gateway;
    }
    for (const auto& run : request.runs) {
        auto fault = this->fault_in_run(id, request, run);
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

std::vector<std::string> promise_book::violations() const
{
    auto broken = this->faults;
    std::size_t late = 0;
    std::size_t served = 0;
    for (const auto& [id, request] : this->requests) {
        auto fault = this->fault_in(id, request);
        if (!fault.empty()) {
            broken.push_back(std::move(fault));
        }
        if (request.sent_at >= this->recovered_at && request.is_answered) {
            ++late;
            served += request.answer == answer_kind::whole ? 1 : 0;
        }
    }
    if (this->recovered_at != time_point::max() &&
        static_cast<double>(served) <
            this->bounds.recovered_share * static_cast<double>(std::max<std::size_t>(1, late))) {
        broken.push_back("only " + std::to_string(served) + " of " + std::to_string(late) +
                         " requests were served once all trouble was over");
    }
    return broken;
}

std::size_t promise_book::count(answer_kind kind) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->requests, [kind](const auto& item) {
        return item.second.is_answered && item.second.answer == kind;
    }));
}
} // namespace buckthornhill::soak
