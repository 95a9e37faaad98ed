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
constexpr std::uint64_t min_repeats = 8; //!< of one crashing request
constexpr std::uint64_t max_more_repeats = 16;
constexpr milliseconds min_repeat_pause{300};
constexpr std::uint64_t max_more_repeat_pause_ms = 900;

std::string body_of(const std::string& target, bool may_repeat)
{
    return may_repeat ? "" : "content of " + target;
}
} // namespace

void soak_run::start_crashing_request(std::uint64_t variant)
{
    const auto& kinds = this->options.played.kinds;
    crashing_request request;
    request.kind = &kinds[variant % kinds.size()];
    request.target =
        request.kind->path_prefix + "crash-" + std::to_string(this->crashing_requests.size() + 1);
    request.key = this->accounts ? this->accounts->lasting_key() : std::string();
    this->crashing_requests.push_back(request);
    const auto copies = 1 + variant / kinds.size() % this->gateways->size();
    this->send_crashing_request(request, min_repeats + variant % max_more_repeats, copies);
}

void soak_run::send_crashing_request(const crashing_request& request, std::uint64_t repeats_left,
                                     std::size_t copies)
{
    if (this->is_injection_over) {
        return;
    }
    for (std::size_t i = 0; i < copies; ++i) {
        this->load->send_crashing(*request.kind, request.target,
                                  body_of(request.target, request.kind->may_repeat), request.key);
    }
    if (repeats_left > 0) {
        constexpr std::uint64_t step = 257;
        const auto pause = min_repeat_pause + milliseconds(repeats_left * step % max_more_repeat_pause_ms);
        this->calls.run_after(pause, [this, request, repeats_left, copies] {
            this->send_crashing_request(request, repeats_left - 1, copies);
        });
    }
}

bool soak_run::is_crashing(const http::http_request& request) const
{
    return std::ranges::any_of(this->crashing_requests,
                               [&request](const auto& one) { return one.target == request.target; });
}

void soak_run::check_quarantined_requests()
{
    std::set<std::string> expected;
    for (const auto& one : this->crashing_requests) {
        const bool may_repeat = one.kind->may_repeat;
        expected.insert(fingerprint_of({may_repeat ? "GET" : "POST", host_name, one.target, one.key,
                                        body_of(one.target, may_repeat)})
                            .str());
    }
    static const std::regex refused(
        R"re("request":"([^"]+)".*"reason":"quarantined".*"fingerprint":"([0-9a-f]+)")re");
    constexpr std::size_t id_group = 1;
    constexpr std::size_t fingerprint_group = 2;
    for (std::size_t i = 0; i < this->gateways->size(); ++i) {
        const auto& gateway = this->gateways->at(i);
        std::ifstream log(gateway.log_path());
        for (std::string line; std::getline(log, line);) {
            std::smatch match;
            if (std::regex_search(line, match, refused) &&
                !expected.contains(match[fingerprint_group].str())) {
                this->record.guarantees.add_violation(gateway.name() + " refused an innocent request, " +
                                                      match[id_group].str() + ", as one that ends upstreams");
            }
        }
    }
}
} // namespace buckthornhill::soak
