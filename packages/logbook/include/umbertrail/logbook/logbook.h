#ifndef UMBERTRAIL_LOGBOOK_LOGBOOK_H_
#define UMBERTRAIL_LOGBOOK_LOGBOOK_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "umbertrail/logbook/log_line.h"

namespace umbertrail::logbook {

// The logs of several instances as one sequence.
class MergedLog {
 public:
  // Adds all lines of one file; what is no log line is counted and passed over.
  void Read(std::istream& in);
  void Add(LogLine line);
  // Orders the lines by time. Those of one instance keep the order in which
  // they were written: its clock may step.
  void Sort();

  const std::vector<LogLine>& lines() const { return lines_; }
  // Lines that were passed over.
  int64_t unreadable() const { return unreadable_; }

 private:
  std::vector<LogLine> lines_;
  int64_t unreadable_ = 0;
};

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_LOGBOOK_H_
