#include "gateway/silent_members.h"

#include <algorithm>

#include "global/log.h"
#include "http/connect_probe.h"

namespace buckthornhill::gateway {
namespace {
//! Longer than a granter waits that takes over from a silent instance.
constexpr std::chrono::seconds lending_memory{12};
constexpr std::chrono::hours memory{1};
//! Others may be gone too and not yet known to be, and what has ended may come back out of sight.
constexpr std::chrono::seconds first_probe_interval{2};
constexpr std::chrono::seconds first_probes{20};
constexpr std::chrono::seconds probe_interval{10};
constexpr std::size_t max_others = 3; //!< some of them may have ended too
} // namespace

silent_members::silent_members(boost::asio::io_context& io, instance_id own_id, domain_id own_domain,
                               std::chrono::milliseconds connect_timeout, std::function<void()> hook)
    : context(io)
    , self(std::move(own_id))
    , domain(std::move(own_domain))
    , timeout(connect_timeout)
    , on_change(std::move(hook))
{
}

void silent_members::update(time_point now, const std::vector<member>& live,
                            const std::set<instance_id>& departed, bool probes)
{
    std::map<instance_id, member> current;
    for (const auto& each : live) {
        current.emplace(each.id, each);
        this->members.erase(each.id);
    }
    const auto before = std::exchange(this->last_live, std::move(current));
    for (const auto& [id, each] : before) {
        if (!this->last_live.contains(id) && !departed.contains(id) && id != this->self) {
            this->members[id] = {each, now, now, false};
        }
    }
    std::erase_if(this->members, [&](const auto& item) {
        return now - item.second.since > memory || departed.contains(item.first);
    });
    for (auto& [id, each] : this->members) {
        if (probes && now >= each.next_probe) {
            const bool is_recent = now - each.since < first_probes;
            each.next_probe = now + (is_recent ? first_probe_interval : probe_interval);
            this->probe(each.description);
        }
    }
}

std::size_t silent_members::ended_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->members, [](const auto& item) { return item.second.has_ended; }));
}

std::set<instance_id> silent_members::silent(time_point now) const
{
    std::set<instance_id> found;
    for (const auto& [id, each] : this->members) {
        if (!each.has_ended && now - each.since <= lending_memory) {
            found.insert(id);
        }
    }
    return found;
}

void silent_members::probe(const member& silent)
{
    std::vector<member> others;
    for (const auto& [id, each] : this->last_live) {
        const bool is_witness =
            id != this->self && each.domain == silent.domain && !each.peer_address.empty();
        if (is_witness && others.size() < max_others) {
            others.push_back(each);
        }
    }
    const bool is_own_domain = silent.domain == this->domain;
    if ((others.empty() && !is_own_domain) || silent.peer_address.empty()) {
        this->on_probed(silent.id, false);
        return;
    }
    http::probe_connect(
        this->context, http::parse_endpoint(silent.peer_address), this->timeout,
        [this, id = silent.id, is_own_domain, others = std::move(others)](http::connect_result result) {
            const bool is_refused = result == http::connect_result::refused;
            if (is_refused && !is_own_domain) {
                this->probe_others(id, others, 0);
            } else {
                this->on_probed(id, is_refused);
            }
        });
}

void silent_members::probe_others(const instance_id& silent, std::vector<member> others, std::size_t first)
{
    if (first >= others.size()) {
        this->on_probed(silent, false);
        return;
    }
    const auto address = http::parse_endpoint(others[first].peer_address);
    http::probe_connect(this->context, address, this->timeout,
                        [this, silent, others = std::move(others), first](http::connect_result result) {
                            if (result == http::connect_result::connected) {
                                this->on_probed(silent, true);
                            } else {
                                this->probe_others(silent, others, first + 1);
                            }
                        });
}

void silent_members::on_probed(const instance_id& silent, bool has_ended)
{
    const auto found = this->members.find(silent);
    if (found == this->members.end() || found->second.has_ended == has_ended) {
        return;
    }
    found->second.has_ended = has_ended;
    log::event("limits", has_ended ? "instance_ended" : "instance_may_run", {{"instance", silent.str()}});
    this->on_change();
}
} // namespace buckthornhill::gateway
