#include "table_printer.h"

#include <algorithm>

namespace pomelohub {

table_printer::table_printer(std::vector<std::string> columnTitles)
    : m_rows { std::move(columnTitles) }
{
}

void table_printer::addRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

void table_printer::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out << row[i];
            if (i + 1 < row.size())
                out << std::string(widths[i] - row[i].size() + 2, ' ');
        }
        out << '\n';
    }
}

} // namespace pomelohub
