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

void arrival_checker::on_sent(time_point at, const std::string& request, const std::string& gateway)
{
    this->sent[request] = {at, gateway};
}

void arrival_checker::on_arrival(time_point at, const std::string& request, const std::string& upstream,
                                 bool is_misdirected)
{
    const auto known = this->sent.find(request);
    const auto origin = known == this->sent.end() ? std::pair{at, std::string()} : known->second;
    this->by_upstream[upstream].push_back({at, origin.first, origin.second, request, is_misdirected});
}

void arrival_checker::on_cold(time_point from, time_point until, const std::string& upstream,
                              double requests_per_second)
{
    this->cold_periods.emplace(upstream, rate_period{from, until, requests_per_second});
}

void arrival_checker::on_limit(time_point from, time_point until, const std::string& upstream,
                               double requests_per_second)
{
    this->limit_periods.emplace(upstream, rate_period{from, until, requests_per_second});
}

void arrival_checker::on_limit_named(time_point at, const std::string& request, const std::string& upstream)
{
    const auto known = this->sent.find(request);
    if (known != this->sent.end() && !this->has_lost_response(upstream, at)) {
        this->limit_notices[{known->second.second, upstream}].push_back(at);
    }
}

void arrival_checker::on_responses_lost(time_point from, time_point until, const std::string& upstream)
{
    this->lost_responses[upstream].push_back({from, until});
}

bool arrival_checker::has_lost_response(const std::string& upstream, time_point at) const
{
    const auto found = this->lost_responses.find(upstream);
    return found != this->lost_responses.end() &&
           std::ranges::any_of(found->second,
                               [at](const rate_period& lost) { return lost.from <= at && at <= lost.until; });
}

bool arrival_checker::is_limited(const std::string& upstream, const rate_period& period,
                                 const arrival& one) const
{
    const auto notices = this->limit_notices.find({one.gateway, upstream});
    if (notices == this->limit_notices.end()) {
        return false;
    }
    const auto first =
        std::ranges::find_if(notices->second, [&](time_point at) { return at >= period.from; });
    if (first == notices->second.end() || *first + this->bounds.limit_notice > one.at) {
        return false;
    }
    return !this->faults.has_gateway_fault(one.gateway, period.from, one.at);
}

void arrival_checker::on_leaving_named(time_point at, const std::string& request, const std::string& upstream)
{
    const auto known = this->sent.find(request);
    if (known != this->sent.end() && !this->has_lost_response(upstream, at)) {
        this->leaving_notices[{known->second.second, upstream}].push_back(at);
    }
}

void arrival_checker::on_turned_away(time_point at, time_point until, const std::string& request,
                                     const std::string& upstream)
{
    const auto known = this->sent.find(request);
    if (known != this->sent.end() && !this->has_lost_response(upstream, at)) {
        this->pauses[{known->second.second, upstream}].emplace_back(at, until);
    }
}

void arrival_checker::check_leaving(std::vector<std::string>& found) const
{
    for (const auto& [names, notices] : this->leaving_notices) {
        const auto& [gateway, upstream] = names;
        const auto heard_at = std::ranges::min(notices);
        const auto& all = this->by_upstream.at(upstream);
        const auto late = std::ranges::count_if(all, [&, name = gateway](const arrival& one) {
            return one.gateway == name && one.sent_at > heard_at + this->bounds.drain &&
                   !this->faults.has_gateway_fault(name, heard_at, one.at);
        });
        if (late > 0) {
            found.push_back(std::string("leaving by its answers: ")
                                .append(upstream)
                                .append(" got ")
                                .append(std::to_string(late))
                                .append(" late requests from ")
                                .append(gateway));
        }
    }
}

void arrival_checker::check_pauses(std::vector<std::string>& found) const
{
    for (const auto& [names, intervals] : this->pauses) {
        const auto& [gateway, upstream] = names;
        const auto& all = this->by_upstream.at(upstream);
        std::ptrdiff_t most = 0;
        for (const auto& [from, until] : intervals) {
            const auto count =
                std::ranges::count_if(all, [&, name = gateway, begin = from + this->bounds.pause_notice,
                                            end = until](const arrival& one) {
                    return one.gateway == name && one.at >= begin && one.at < end;
                });
            most = this->faults.has_gateway_fault(gateway, from, until) ? most : std::max(most, count);
        }
        if (most > this->bounds.pause_slack) {
            found.push_back(std::string("turned away: ")
                                .append(upstream)
                                .append(" got ")
                                .append(std::to_string(most))
                                .append(" requests in a pause from ")
                                .append(gateway));
        }
    }
}

void arrival_checker::on_crashing_request(const std::string& request, const std::string& content)
{
    this->crashing_content[request] = content;
}

void arrival_checker::on_crash(time_point at, const std::string& content)
{
    this->crashes[content].push_back(at);
}

void arrival_checker::check_crashes(std::vector<std::string>& found) const
{
    std::map<std::string, std::ptrdiff_t> late;
    for (const auto& [upstream, all] : this->by_upstream) {
        for (const auto& one : all) {
            const auto content = this->crashing_content.find(one.request);
            if (content == this->crashing_content.end()) {
                continue;
            }
            const auto known = this->crashes.find(content->second);
            const bool has_crashed_often =
                known != this->crashes.end() && known->second.size() >= this->bounds.tolerated_crashes;
            if (!has_crashed_often) {
                continue;
            }
            const auto noticed_at =
                known->second[this->bounds.tolerated_crashes - 1] + this->bounds.crash_notice;
            //! NOTE Bytes that a path held back may have been sent earlier.
            if (one.at > noticed_at && this->faults.is_gateway_sound(one.gateway, one.at, one.at) &&
                this->faults.is_path_sound(upstream, one.at, one.at)) {
                ++late[content->second];
            }
        }
    }
    for (const auto& [content, count] : late) {
        if (count > this->bounds.retries_after_crashes) {
            found.push_back(std::string("crashing request: ")
                                .append(content)
                                .append(" reached upstreams ")
                                .append(std::to_string(count))
                                .append(" times after its third crash was known; crashes ")
                                .append(std::to_string(this->crashes.at(content).size())));
        }
    }
}

void arrival_checker::check_limit(const std::string& upstream, const rate_period& period,
                                  std::vector<std::string>& found) const
{
    const auto arrivals = this->by_upstream.find(upstream);
    if (arrivals == this->by_upstream.end()) {
        return;
    }
    time_points counted;
    for (const auto& one : arrivals->second) {
        const bool is_in_period =
            one.at >= period.from + this->bounds.limit_binds_after && one.at <= period.until;
        if (is_in_period && this->is_limited(upstream, period, one)) {
            counted.push_back(one.at);
        }
    }
    std::ranges::sort(counted);
    const std::chrono::duration<double> window = this->bounds.limit_window;
    const double allowed =
        period.requests_per_second * window.count() * this->bounds.limit_factor + this->bounds.limit_slack;
    std::ptrdiff_t most = 0;
    for (const auto end : counted) {
        most = std::max(most, count_between(counted, end - this->bounds.limit_window, end));
    }
    if (static_cast<double>(most) > allowed) {
        found.push_back("stated limit: " + upstream + " got " + std::to_string(most) +
                        " requests in one window; allowed are " + std::to_string(static_cast<int>(allowed)));
    }
}

void arrival_checker::check_left(std::vector<std::string>& found) const
{
    std::ptrdiff_t late = 0;
    std::string example;
    for (const auto& [upstream, all] : this->by_upstream) {
        for (const auto& one : all) {
            const auto left_at = this->left.find(one.request);
            if (left_at == this->left.end() || one.at <= left_at->second + this->bounds.leave_notice ||
                !this->faults.is_gateway_sound(one.gateway, one.at, one.at) ||
                !this->faults.is_path_sound(upstream, one.at, one.at)) {
                continue;
            }
            ++late;
            example = one.request + " at " + upstream + " by " + one.gateway;
        }
    }
    if (late > this->bounds.tolerated_after_leave) {
        found.push_back("gone: " + std::to_string(late) +
                        " requests reached upstreams after their callers had left, such as " + example);
    }
}

void arrival_checker::check_cold(const std::string& upstream, const rate_period& period,
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
                            return !one.is_misdirected && one.sent_at >= first.sent_at &&
                                   one.at >= first.at && one.at < end;
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
    for (const auto& [upstream, period] : this->cold_periods) {
        this->check_cold(upstream, period, found);
    }
    for (const auto& [upstream, period] : this->limit_periods) {
        this->check_limit(upstream, period, found);
    }
    this->check_leaving(found);
    this->check_pauses(found);
    this->check_crashes(found);
    this->check_left(found);
    return found;
}
} // namespace buckthornhill::soak
