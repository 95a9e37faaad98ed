#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace buckthornhill {
//! A text identifier that cannot be mixed up with one of another kind. `Tag` names the kind.
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value)
        : text(std::move(value))
    {
    }

    const std::string& str() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;

private:
    std::string text;
};
} // namespace buckthornhill

template <typename Tag>
struct std::hash<buckthornhill::strong_id<Tag>>
{
    std::size_t operator()(const buckthornhill::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
