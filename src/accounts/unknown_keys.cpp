#include "accounts/unknown_keys.h"

namespace buckthornhill::accounts {
namespace {
constexpr std::size_t max_remembered_keys = 2048;
constexpr std::size_t max_remembered_length = 256; //!< of a key, in bytes
//! A key that is out of use for this long may have been added since.
constexpr std::chrono::seconds use_memory{60};
} // namespace

std::chrono::nanoseconds unknown_keys::first_use(const api_key& key, std::chrono::nanoseconds now)
{
    const auto is_over = [now](const auto& item) { return now - item.second.latest > use_memory; };
    const auto found = this->uses.find(key);
    if (found != this->uses.end() && !is_over(*found)) {
        found->second.latest = now;
        return found->second.first;
    }
    if (found != this->uses.end()) {
        this->uses.erase(found);
    }
    if (this->uses.size() >= max_remembered_keys) {
        std::erase_if(this->uses, is_over);
    }
    if (this->uses.size() < max_remembered_keys && key.str().size() <= max_remembered_length) {
        this->uses.emplace(key, use{now, now});
    }
    return now;
}
} // namespace buckthornhill::accounts
