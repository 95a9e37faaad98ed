#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace buckthornhill {
//! A number with a meaning (a count, a unit, a numeric id) that cannot be mixed up with another kind.
template <typename Tag, typename Rep>
class strong_number
{
public:
    using rep = Rep;

    constexpr strong_number() = default;
    explicit constexpr strong_number(Rep value)
        : number(value)
    {
    }

    constexpr Rep value() const { return this->number; }

    constexpr strong_number& operator+=(strong_number other)
    {
        this->number += other.number;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other)
    {
        this->number -= other.number;
        return *this;
    }
    constexpr strong_number& operator++()
    {
        ++this->number;
        return *this;
    }
    constexpr strong_number& operator--()
    {
        --this->number;
        return *this;
    }
    friend constexpr strong_number operator+(strong_number a, strong_number b) { return a += b; }
    friend constexpr strong_number operator-(strong_number a, strong_number b) { return a -= b; }
    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

private:
    Rep number{};
};
} // namespace buckthornhill

template <typename Tag, typename Rep>
struct std::hash<buckthornhill::strong_number<Tag, Rep>>
{
    std::size_t operator()(const buckthornhill::strong_number<Tag, Rep>& number) const noexcept
    {
        return std::hash<Rep>{}(number.value());
    }
};
