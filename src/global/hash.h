#pragma once

#include <cstdint>
#include <string_view>

namespace buckthornhill {
//! 64-bit XXH3 hash; the same on every machine.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);
//! Rank of a candidate for a key in rendezvous hashing, from the hashes of both.
std::uint64_t rendezvous_weight(std::uint64_t candidate, std::uint64_t key);
} // namespace buckthornhill
