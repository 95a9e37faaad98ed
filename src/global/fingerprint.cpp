#include "global/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

#include <sodium/crypto_generichash.h>

namespace buckthornhill {
namespace {
constexpr std::size_t digits_of_half = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    const bool is_whole = status == std::errc{} && end == text.data() + text.size();
    return is_whole ? std::optional(value) : std::nullopt;
}

void add_bytes(crypto_generichash_state& state, const void* data, std::size_t size)
{
    crypto_generichash_update(&state, static_cast<const unsigned char*>(data), size);
}
} // namespace

std::string fingerprint::str() const
{
    std::array<char, 2 * digits_of_half + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(this->high),
                  static_cast<unsigned long long>(this->low));
    return text.data();
}

std::optional<fingerprint> fingerprint::parse(std::string_view text)
{
    if (text.size() != 2 * digits_of_half) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, digits_of_half));
    const auto low = parse_half(text.substr(digits_of_half));
    return high && low ? std::optional(fingerprint(*high, *low)) : std::nullopt;
}

fingerprint fingerprint_of(std::initializer_list<std::string_view> parts)
{
    std::array<unsigned char, 2 * sizeof(std::uint64_t)> digest{};
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const auto part : parts) {
        const auto size = static_cast<std::uint64_t>(part.size());
        add_bytes(state, &size, sizeof size);
        add_bytes(state, part.data(), part.size());
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, digest.data(), sizeof high);
    std::memcpy(&low, digest.data() + sizeof high, sizeof low);
    return fingerprint(high, low);
}
} // namespace buckthornhill
