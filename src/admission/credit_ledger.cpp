#include "admission/credit_ledger.h"

#include <vector>

namespace buckthornhill::admission {
namespace {
constexpr std::chrono::seconds request_lifetime{3};
}

void credit_ledger::on_credit_request(time_point now, const instance_id& instance, std::int64_t wanted)
{
    auto& entry = this->accounts[instance];
    entry.requested = wanted;
    entry.request_valid_until = now + request_lifetime;
}

void credit_ledger::grant_round(time_point now, std::int64_t spare, duration lifetime)
{
    std::erase_if(this->accounts, [now](const auto& item) {
        const auto& entry = item.second;
        return entry.in_flight == 0 && now >= entry.request_valid_until && now >= entry.grant_valid_until;
    });
    std::vector<account*> requesting;
    for (auto& [instance, entry] : this->accounts) {
        entry.granted = 0;
        if (now < entry.request_valid_until && entry.requested > 0) {
            requesting.push_back(&entry);
        }
    }
    if (requesting.empty()) {
        return;
    }
    //! NOTE Each round starts with the next instance, so that every instance gets credits over several rounds
    //! even if there are fewer spare slots than instances that request them.
    std::size_t index = this->next_first_index++;
    for (std::size_t satisfied = 0; spare > 0 && satisfied < requesting.size(); ++index) {
        auto& next = *requesting[index % requesting.size()];
        if (next.granted >= next.requested) {
            ++satisfied;
            continue;
        }
        satisfied = 0;
        ++next.granted;
        next.grant_valid_until = now + lifetime;
        --spare;
    }
}

std::int64_t credit_ledger::granted_to(time_point now, const instance_id& instance) const
{
    const auto found = this->accounts.find(instance);
    const bool is_valid = found != this->accounts.end() && now < found->second.grant_valid_until;
    return is_valid ? found->second.granted : 0;
}

bool credit_ledger::may_start(time_point now, const instance_id& instance) const
{
    const auto found = this->accounts.find(instance);
    return found != this->accounts.end() && found->second.in_flight < this->granted_to(now, instance);
}

void credit_ledger::on_start(const instance_id& instance)
{
    ++this->accounts[instance].in_flight;
    ++this->running;
}

void credit_ledger::on_finish(const instance_id& instance)
{
    --this->accounts[instance].in_flight;
    --this->running;
}
} // namespace buckthornhill::admission
