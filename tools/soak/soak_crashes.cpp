#include <algorithm>
#include <fstream>
#include <regex>
#include <set>

#include "global/fingerprint.h"
#include "soak_run.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds registration_expiry{1500}; //!< until the registration of a crashed upstream is removed
constexpr milliseconds announced_wait{1500};
constexpr milliseconds call_timeout{2400};
constexpr std::uint64_t min_repeats = 8; //!< of one crashing request
constexpr std::uint64_t max_more_repeats = 8;

std::string body_of(const std::string& target, bool may_repeat)
{
    return may_repeat ? "" : "content of " + target;
}
} // namespace

//! Ends the process of an upstream, as its gateways see it: connections are reset and connects refused.
void soak_run::end_upstream(const std::string& id)
{
    auto* proxied = this->find_upstream(id);
    if (proxied == nullptr || proxied->has_ended) {
        return;
    }
    const bool has_replacement = std::exchange(proxied->is_leaving, true);
    proxied->has_ended = true;
    this->attempts.on_upstream_lost(id);
    proxied->upstream->crash();
    proxied->proxy->close();
    this->run_after(registration_expiry, [this, id, has_replacement, service = proxied->upstream->service()] {
        this->remove_upstream(id);
        if (!has_replacement) {
            this->add_upstream(service);
        }
    });
}

void soak_run::end_many_upstreams(const std::string& service)
{
    std::vector<std::string> ids;
    for (const auto& proxied : this->upstreams) {
        if (proxied.upstream->service() == service && !proxied.is_leaving) {
            ids.push_back(proxied.upstream->id());
        }
    }
    constexpr std::size_t share = 3;
    const auto count = std::max<std::size_t>(1, ids.size() / share);
    for (std::size_t i = 0; i < std::min(count, ids.size()); ++i) {
        this->end_upstream(ids[i]);
    }
}

void soak_run::start_crashing_request()
{
    if (this->is_injection_over) {
        return;
    }
    ++this->event_counts["crashing-request"];
    crashing_request request;
    request.may_repeat = this->draw(2) == 0;
    request.prefix = request.may_repeat ? "/steady/" : "/once/";
    request.target = request.prefix + "crash-" + std::to_string(this->crashing_requests.size() + 1);
    this->crashing_requests.push_back(request);
    const auto copies = 1 + this->draw(this->gateways.size());
    this->send_crashing_request(request, min_repeats + this->draw(max_more_repeats), copies);
}

void soak_run::send_crashing_request(const crashing_request& request, std::uint64_t repeats_left,
                                     std::size_t copies)
{
    if (this->is_injection_over) {
        return;
    }
    for (std::size_t i = 0; i < copies; ++i) {
        const auto& gateway = *this->gateways[this->draw(this->gateways.size())];
        const auto id = std::to_string(++this->last_request) + request.prefix;
        const auto sent_at = std::chrono::steady_clock::now();
        auto message = make_request(request.may_repeat ? "GET" : "POST", request.target, id, announced_wait);
        message.body = body_of(request.target, request.may_repeat);
        this->checker.on_sent(sent_at, id, gateway.name(), request.may_repeat);
        this->arrivals.on_sent(sent_at, id, "steady", gateway.name());
        this->arrivals.on_crashing_request(id, request.target);
        this->crash_client->send(
            gateway.caller_endpoint(), message, sent_at + call_timeout, http::connection_choice::fresh,
            [this, id, message](const http::call_result& result) {
                this->checker.on_outcome(std::chrono::steady_clock::now(), id, outcome_of(message, result));
            });
    }
    if (repeats_left > 0) {
        this->run_after(this->draw_duration(300, 1200), [this, request, repeats_left, copies] {
            this->send_crashing_request(request, repeats_left - 1, copies);
        });
    }
}

bool soak_run::is_crashing(const http::http_request& request) const
{
    return std::ranges::any_of(this->crashing_requests,
                               [&request](const auto& one) { return one.target == request.target; });
}

//! The gateways' logs name what they quarantined, which callers cannot tell from other refusals.
void soak_run::check_quarantined_requests()
{
    std::set<std::string> expected;
    for (const auto& one : this->crashing_requests) {
        expected.insert(fingerprint_of({one.may_repeat ? "GET" : "POST", host_name, one.target, "",
                                        body_of(one.target, one.may_repeat)})
                            .str());
    }
    static const std::regex quarantined(R"re("event":"quarantined","fingerprint":"([0-9a-f]+)")re");
    for (const auto& gateway : this->gateways) {
        std::ifstream log(gateway->log_path());
        for (std::string line; std::getline(log, line);) {
            std::smatch match;
            if (std::regex_search(line, match, quarantined) && !expected.contains(match[1])) {
                this->checker.add_violation(gateway->name() + " quarantined an innocent request, " +
                                            match[1].str());
            }
        }
    }
}
} // namespace buckthornhill::soak
