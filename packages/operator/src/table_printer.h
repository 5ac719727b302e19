/** \file
 * Defines table_printer, which prints rows of text in aligned columns.
 */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace pomelohub {

/** Collects rows and prints them below a row of column titles. Not thread-safe. */
class table_printer {
public:
    explicit table_printer(std::vector<std::string> columnTitles);

    /** Adds a row. Precondition: \p cells has one cell for each column title. */
    void addRow(std::vector<std::string> cells);

    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace pomelohub
