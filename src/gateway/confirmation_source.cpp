#include "gateway/confirmation_source.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::chrono::milliseconds ask_interval{300};
} // namespace

std::optional<instance_id> confirmation_source::next_to_ask(time_point now, bool is_needed,
                                                            const std::vector<instance_id>& live_peers)
{
    if (!is_needed || live_peers.empty() ||
        (this->last_asked_at && now - *this->last_asked_at < ask_interval)) {
        return std::nullopt;
    }
    auto chosen = this->random() % live_peers.size();
    //! NOTE The last one asked may be silent, or as cut off as this instance.
    if (live_peers[chosen] == this->last_asked) {
        chosen = (chosen + 1) % live_peers.size();
    }
    this->last_asked = live_peers[chosen];
    this->last_asked_at = now;
    return this->last_asked;
}
} // namespace buckthornhill::gateway
