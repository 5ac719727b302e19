/** \file
 * Defines table_printer, which shows rows of text in aligned columns for people.
 */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace pomelohub {

class table_printer {
public:
    explicit table_printer(std::vector<std::string> titles);

    /** Adds a row. Precondition: as many cells as titles. */
    void add(std::vector<std::string> cells);

    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace pomelohub
