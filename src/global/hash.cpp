#include "global/hash.h"

#include <xxhash.h>

namespace buckthornhill {
std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::uint64_t candidate, std::uint64_t key)
{
    return XXH3_64bits_withSeed(&candidate, sizeof candidate, key);
}
} // namespace buckthornhill
