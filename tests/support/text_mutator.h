#pragma once

#include <random>
#include <string>

namespace buckthornhill::testing {
//! Mutates texts pseudorandomly from a seed: changes a byte, removes, repeats or truncates text, or replaces
//! a JSON value by an unexpected one.
class text_mutator
{
public:
    explicit text_mutator(std::uint64_t seed)
        : random(seed)
    {
    }

    std::string mutate(std::string text)
    {
        const auto times = 1 + this->draw(3);
        for (std::size_t i = 0; i < times; ++i) {
            this->mutate_once(text);
        }
        return text;
    }

private:
    std::size_t draw(std::size_t bound) { return bound == 0 ? 0 : this->random() % bound; }

    void mutate_once(std::string& text)
    {
        static const std::string odd_values[] = {
            "null", "{}",  "[]",   "-1",    "1e400",    "99999999999999999999",
            "\"\"", "0.5", "true", "\"x\"", "\xff\xfe", std::string(200, '[')};
        const auto position = this->draw(text.size() + 1);
        const auto length = this->draw(16);
        switch (this->draw(5)) {
        case 0:
            if (position < text.size()) {
                text[position] = static_cast<char>(this->draw(256));
            }
            break;
        case 1:
            text.erase(position, length);
            break;
        case 2:
            text.insert(position, text.substr(position, length));
            break;
        case 3:
            text.resize(position);
            break;
        default:
            this->replace_value(text, odd_values[this->draw(std::size(odd_values))]);
        }
    }

    //! Replaces the text between a colon or opening bracket and the next comma or closing bracket by `value`.
    void replace_value(std::string& text, const std::string& value)
    {
        const auto begin = text.find_first_of(":[", this->draw(text.size() + 1));
        if (begin == std::string::npos) {
            return;
        }
        const auto end = text.find_first_of(",]}", begin + 1);
        text.replace(begin + 1, end == std::string::npos ? std::string::npos : end - begin - 1, value);
    }

    std::mt19937_64 random;
};
} // namespace buckthornhill::testing
