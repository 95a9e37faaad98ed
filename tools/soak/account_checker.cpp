#include "account_checker.h"

#include <algorithm>

namespace buckthornhill::soak {
void account_checker::on_key_added(time_point at, const std::string& key, const std::string& account)
{
    this->keys[key] = {.account = account, .added_at = at};
}

void account_checker::on_sent(time_point at, const std::string& request, const std::string& key)
{
    auto& record = this->requests[request];
    record.sent_at = at;
    record.key = key;
}

void account_checker::on_rejected(time_point at, const std::string& request)
{
    this->requests[request].rejected_at = at;
}

void account_checker::on_arrival(time_point at, const std::string& request, const account_arrival& seen)
{
    this->requests[request].arrivals.push_back({at, seen});
}

bool account_checker::is_owed(time_point at, const std::string& key) const
{
    const auto found = this->keys.find(key);
    if (found == this->keys.end()) {
        return false;
    }
    const bool is_limited = this->accounts.at(found->second.account).requests_per_second > 0;
    return !is_limited && found->second.added_at + this->bounds.notice < at && at < found->second.revoked_at;
}

void account_checker::check_arrival(const std::string& id, const request_record& request, const arrival& one,
                                    counts& broken) const
{
    if (!one.seen.key.empty()) {
        broken["key header reached an upstream"].push_back(id);
    }
    const auto key = this->keys.find(request.key);
    if (key == this->keys.end()) {
        broken["request without a configured key reached an upstream"].push_back(id);
        return;
    }
    if (one.seen.account != key->second.account) {
        broken["upstream saw another account than that of the key"].push_back(id);
    }
    const auto& regions = this->accounts.at(key->second.account).regions;
    if (!regions.empty() && std::ranges::find(regions, one.seen.region) == regions.end()) {
        broken["request of a restricted account reached another region"].push_back(id);
    }
    const auto revoked_at = key->second.revoked_at;
    if (one.seen.is_executed && revoked_at != time_point::max() &&
        request.sent_at > revoked_at + this->bounds.revoke) {
        broken["request with a revoked key ran"].push_back(
            id + " sent " + std::to_string(to_milliseconds(request.sent_at - revoked_at)) +
            " ms after the revocation of " + request.key + ",");
    }
    if (one.seen.is_executed && request.rejected_at) {
        broken["request was rejected for its key, and ran"].push_back(id);
    }
}

bool account_checker::is_wrong_rejection(const request_record& request) const
{
    const auto key = this->keys.find(request.key);
    return request.rejected_at && key != this->keys.end() && key->second.added_at <= request.sent_at &&
           key->second.revoked_at > *request.rejected_at;
}

void account_checker::check_limit(const client_account& account, std::vector<std::string>& found) const
{
    std::vector<time_point> times;
    for (const auto& [id, request] : this->requests) {
        const auto key = this->keys.find(request.key);
        if (key == this->keys.end() || key->second.account != account.name) {
            continue;
        }
        for (const auto& one : request.arrivals) {
            if (one.seen.is_executed) {
                times.push_back(one.at);
            }
        }
    }
    std::ranges::sort(times);
    const auto window_s = std::chrono::duration<double>(this->bounds.quota_window).count();
    const auto allowed =
        (account.requests_per_second * window_s + account.burst) * (1 + this->bounds.quota_overrun) +
        this->bounds.quota_slack;
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= this->bounds.quota_window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    if (static_cast<double>(most) > allowed) {
        found.push_back("accounts: " + std::to_string(most) + " requests of " + account.name +
                        " ran in a window, allowed " + std::to_string(allowed));
    }
}

std::vector<std::string> account_checker::violations() const
{
    counts broken;
    std::vector<std::string> wrongly_rejected;
    for (const auto& [id, request] : this->requests) {
        for (const auto& one : request.arrivals) {
            this->check_arrival(id, request, one, broken);
        }
        if (this->is_wrong_rejection(request)) {
            wrongly_rejected.push_back(id);
        }
    }
    if (wrongly_rejected.size() > this->bounds.tolerated_rejections) {
        broken["key was rejected that all configurations in question hold"] = std::move(wrongly_rejected);
    }
    std::vector<std::string> found;
    for (const auto& [rule, ids] : broken) {
        found.push_back("accounts: " + rule + ": " + std::to_string(ids.size()) + " times, first " +
                        ids.front());
    }
    for (const auto& [name, account] : this->accounts) {
        if (account.requests_per_second > 0) {
            this->check_limit(account, found);
        }
    }
    return found;
}
} // namespace buckthornhill::soak
