#ifndef UMBERTRAIL_CLI_SRC_TEXT_TABLE_H_
#define UMBERTRAIL_CLI_SRC_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace umbertrail::cli {

// A table for people: columns as wide as their widest cell, two blanks between.
class TextTable {
 public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row header);

  // Precondition: as many cells as the header has.
  void Add(Row row);
  bool empty() const { return rows_.size() == 1; }

  // The lines of the table, the header first.
  std::string Text() const;

 private:
  std::vector<Row> rows_;
};

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_TEXT_TABLE_H_
