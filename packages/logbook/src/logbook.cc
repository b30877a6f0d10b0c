#include "umbertrail/logbook/logbook.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace umbertrail::logbook {

void MergedLog::Read(std::istream& in) {
  std::string text;
  while (std::getline(in, text)) {
    std::optional<LogLine> line = ParseLogLine(text);
    if (line.has_value()) {
      Add(*std::move(line));
    } else if (!text.empty()) {
      ++unreadable_;
    }
  }
}

void MergedLog::Add(LogLine line) {
  lines_.push_back(std::move(line));
}

void MergedLog::Sort() {
  std::map<std::string, double> latest;
  for (LogLine& line : lines_) {
    const auto [it, first] = latest.emplace(line.instance, line.at_s);
    it->second = first ? line.at_s : std::max(it->second, line.at_s);
    line.at_s = it->second;
  }
  std::stable_sort(
      lines_.begin(), lines_.end(),
      [](const LogLine& a, const LogLine& b) { return a.at_s < b.at_s; });
}

}  // namespace umbertrail::logbook
