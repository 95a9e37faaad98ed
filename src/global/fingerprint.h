#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornhill {
//! 128-bit digest of what a request asks for, the same for every resend of it and at every instance.
class fingerprint
{
public:
    constexpr fingerprint() = default;
    explicit constexpr fingerprint(std::uint64_t high_half, std::uint64_t low_half = 0)
        : high(high_half)
        , low(low_half)
    {
    }

    constexpr std::uint64_t high_bits() const { return this->high; }
    constexpr std::uint64_t low_bits() const { return this->low; }
    //! 32 hexadecimal digits.
    std::string str() const;
    //! Parses what `str` returns; empty for any other text.
    static std::optional<fingerprint> parse(std::string_view text);

    friend constexpr auto operator<=>(const fingerprint&, const fingerprint&) = default;

private:
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

//! BLAKE2b digest of the parts and of where each of them ends. It is cryptographic, so that nobody can make a
//! request with the fingerprint of another one; it needs no key, which all instances would have to share.
fingerprint fingerprint_of(std::initializer_list<std::string_view> parts);
} // namespace buckthornhill

template <>
struct std::hash<buckthornhill::fingerprint>
{
    std::size_t operator()(const buckthornhill::fingerprint& value) const noexcept
    {
        return static_cast<std::size_t>(value.high_bits() ^ value.low_bits());
    }
};
