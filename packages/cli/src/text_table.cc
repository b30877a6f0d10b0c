#include "text_table.h"

#include <algorithm>
#include <utility>

namespace umbertrail::cli {

TextTable::TextTable(Row header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(Row row) {
  rows_.push_back(std::move(row));
}

std::string TextTable::Text() const {
  std::vector<size_t> widths(rows_[0].size(), 0);
  for (const Row& row : rows_) {
    for (size_t i = 0; i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row.at(i).size());
    }
  }
  std::string out;
  for (const Row& row : rows_) {
    std::string line;
    for (size_t i = 0; i < widths.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

}  // namespace umbertrail::cli
