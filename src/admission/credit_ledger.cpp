#include "admission/credit_ledger.h"

#include <vector>

namespace buckthornhill::admission {
namespace {
constexpr std::chrono::seconds want_lifetime{3};
}

void credit_ledger::on_want(time_point now, const instance_id& instance, std::int64_t wanted)
{
    auto& asked = this->accounts[instance];
    asked.wanted = wanted;
    asked.wanted_until = now + want_lifetime;
}

void credit_ledger::grant_round(time_point now, std::int64_t spare, duration lifetime)
{
    std::erase_if(this->accounts, [now](const auto& item) {
        const auto& known = item.second;
        return known.in_flight == 0 && now >= known.wanted_until && now >= known.granted_until;
    });
    std::vector<account*> asking;
    for (auto& [instance, known] : this->accounts) {
        known.granted = 0;
        if (now < known.wanted_until && known.wanted > 0) {
            asking.push_back(&known);
        }
    }
    if (asking.empty()) {
        return;
    }
    //! NOTE The turn moves on with each round, so that a spare smaller than the number of askers reaches all.
    std::size_t turn = this->first_in_turn++;
    for (std::size_t passed_over = 0; spare > 0 && passed_over < asking.size(); ++turn) {
        auto& next = *asking[turn % asking.size()];
        if (next.granted >= next.wanted) {
            ++passed_over;
            continue;
        }
        passed_over = 0;
        ++next.granted;
        next.granted_until = now + lifetime;
        --spare;
    }
}

std::int64_t credit_ledger::granted_to(time_point now, const instance_id& instance) const
{
    const auto found = this->accounts.find(instance);
    const bool is_valid = found != this->accounts.end() && now < found->second.granted_until;
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
