#include "operators/text_table.h"

#include <algorithm>

namespace buckthornhill::operators {
namespace {
constexpr std::size_t column_gap = 2;
}

std::string text_table::str() const
{
    std::vector<std::size_t> widths;
    for (const auto& row : this->rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : this->rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            const bool is_last = i + 1 == row.size();
            text += is_last ? "\n" : std::string(widths[i] - row[i].size() + column_gap, ' ');
        }
    }
    return text;
}
} // namespace buckthornhill::operators
