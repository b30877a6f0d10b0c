#ifndef UMBERTRAIL_LOGBOOK_LOGBOOK_H_
#define UMBERTRAIL_LOGBOOK_LOGBOOK_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "umbertrail/logbook/log_line.h"

namespace umbertrail::logbook {

// The logs of several instances merged into one sequence.
class MergedLog {
 public:
  // Adds all lines of one file; lines that are no log lines are counted and
  // skipped.
  void Read(std::istream& in);
  void Add(LogLine line);
  // Orders the lines by time. Those of one instance keep the order in which
  // they were written: its clock may step.
  void Sort();

  const std::vector<LogLine>& lines() const { return lines_; }
  // Number of skipped lines.
  int64_t unreadable() const { return unreadable_; }

 private:
  std::vector<LogLine> lines_;
  int64_t unreadable_ = 0;
};

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_LOGBOOK_H_
