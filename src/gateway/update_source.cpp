#include "gateway/update_source.h"

#include <algorithm>
#include <utility>

#include "global/hash.h"

namespace buckthornhill::gateway {
update_source::update_source(instance_id self_id, const domain_id& domain,
                             const update_source_configuration& settings)
    : self(std::move(self_id))
    , domain_key(hash_text(domain.str()))
    , configuration(settings)
{
}

void update_source::set_members(const std::vector<instance_id>& live)
{
    this->members = {live.begin(), live.end()};
    //! NOTE A working relay is kept even if the current members would lead to another choice.
    if (this->is_following && this->members.contains(this->chosen_relay)) {
        return;
    }
    this->is_following = false;
    this->choose_relay();
}

void update_source::choose_relay()
{
    const auto previous = std::exchange(this->chosen_relay, instance_id{});
    if (this->members.size() < this->configuration.min_members) {
        return;
    }
    const auto highest =
        std::max_element(this->members.begin(), this->members.end(), [this](const auto& a, const auto& b) {
            return rendezvous_weight(hash_text(a.str()), this->domain_key) <
                   rendezvous_weight(hash_text(b.str()), this->domain_key);
        });
    if (*highest != this->self) {
        this->chosen_relay = *highest;
    }
    if (this->chosen_relay != previous) {
        this->next_call_at = {};
    }
}

std::optional<instance_id> update_source::start_relay_call(time_point now)
{
    if (this->chosen_relay.empty() || this->is_calling || this->is_followed || now < this->next_call_at) {
        return std::nullopt;
    }
    this->is_calling = true;
    return this->chosen_relay;
}

void update_source::on_response(time_point now, bool is_source)
{
    this->is_calling = false;
    if (std::exchange(this->ignores_pending_response, false)) {
        return;
    }
    this->is_following = is_source && !this->chosen_relay.empty();
    if (!is_source) {
        this->next_call_at = now + this->configuration.retry_delay;
        this->choose_relay();
    }
}

void update_source::on_failure(time_point now)
{
    this->on_response(now, false);
}

void update_source::on_pause(time_point now)
{
    this->is_following = false;
    this->ignores_pending_response = this->is_calling;
    this->next_call_at = now + this->configuration.retry_delay;
}
} // namespace buckthornhill::gateway
