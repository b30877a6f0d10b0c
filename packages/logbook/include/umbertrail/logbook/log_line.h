#ifndef UMBERTRAIL_LOGBOOK_LOG_LINE_H_
#define UMBERTRAIL_LOGBOOK_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"

namespace umbertrail::logbook {

using Value = std::variant<bool, int64_t, double, std::string>;

// One line of an instance's structured log.
struct LogLine {
  // Seconds by the recorder's clock if the line has that time; else Unix time
  // by the instance's clock.
  double at_s = 0;
  std::string instance;
  std::string event;
  // In the order in which they were written.
  std::vector<std::pair<std::string, Value>> fields;

  // A field's text; empty if there is no text field of that name.
  absl::string_view Text(absl::string_view name) const;
  std::optional<int64_t> Number(absl::string_view name) const;
  // True if the field exists and is true.
  bool Flag(absl::string_view name) const;
};

// Parses a line as an instance writes it (one JSON object), or with the
// recorder's `SECONDS NAME` before the object. None if it is neither or lacks
// the instance, time or event.
std::optional<LogLine> ParseLogLine(absl::string_view text);

// The fields as `name=value`, each after two spaces.
std::string WriteFields(const LogLine& line);

// The line as one JSON object, with its time as `at_s`.
std::string WriteJson(const LogLine& line);

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_LOG_LINE_H_
