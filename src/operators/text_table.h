#pragma once

#include <string>
#include <vector>

namespace buckthornhill::operators {
//! Rows of text in aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header) { this->rows.push_back(std::move(header)); }

    void add(std::vector<std::string> row) { this->rows.push_back(std::move(row)); }
    std::string str() const;

private:
    std::vector<std::vector<std::string>> rows;
};
} // namespace buckthornhill::operators
