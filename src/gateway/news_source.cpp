#include "gateway/news_source.h"

#include <algorithm>
#include <utility>

#include "global/hash.h"

namespace buckthornhill::gateway {
news_source::news_source(instance_id self_id, const domain_id& domain,
                         const news_source_configuration& settings)
    : self(std::move(self_id))
    , domain_key(hash_text(domain.str()))
    , configuration(settings)
{
}

void news_source::set_members(const std::vector<instance_id>& live)
{
    this->members = {live.begin(), live.end()};
    //! NOTE A relay that serves well is kept although another instance would be chosen by now.
    if (this->is_following && this->members.contains(this->chosen)) {
        return;
    }
    this->is_following = false;
    this->choose();
}

void news_source::choose()
{
    const auto previous = std::exchange(this->chosen, instance_id{});
    if (this->members.size() < this->configuration.least_members) {
        return;
    }
    const auto first =
        std::max_element(this->members.begin(), this->members.end(), [this](const auto& a, const auto& b) {
            return rendezvous_weight(hash_text(a.str()), this->domain_key) <
                   rendezvous_weight(hash_text(b.str()), this->domain_key);
        });
    if (*first != this->self) {
        this->chosen = *first;
    }
    if (this->chosen != previous) {
        this->next_try = {};
    }
}

std::optional<instance_id> news_source::next_call(time_point now)
{
    if (this->chosen.empty() || this->is_calling || this->is_followed || now < this->next_try) {
        return std::nullopt;
    }
    this->is_calling = true;
    return this->chosen;
}

void news_source::on_answer(time_point now, bool is_source)
{
    this->is_calling = false;
    if (std::exchange(this->is_doubted, false)) {
        return;
    }
    this->is_following = is_source && !this->chosen.empty();
    if (!is_source) {
        this->next_try = now + this->configuration.retry_after;
        this->choose();
    }
}

void news_source::on_failure(time_point now)
{
    this->on_answer(now, false);
}

void news_source::on_doubt(time_point now)
{
    this->is_following = false;
    this->is_doubted = this->is_calling;
    this->next_try = now + this->configuration.retry_after;
}
} // namespace buckthornhill::gateway
