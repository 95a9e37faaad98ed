#include "gateway/witness_quality.h"

#include <algorithm>
#include <array>

#include "gateway/gateway_errors.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::array names{"none", "lapsed", "recent", "settled"};
} // namespace

std::string to_string(witness_quality quality)
{
    return names.at(static_cast<std::size_t>(quality));
}

witness_quality parse_witness_quality(const std::string& name)
{
    const auto* found = std::ranges::find(names, name);
    if (found == names.end()) {
        throw gateway_error("'" + name + "' is not a quality of a witness");
    }
    return static_cast<witness_quality>(found - names.begin());
}
} // namespace buckthornhill::gateway
