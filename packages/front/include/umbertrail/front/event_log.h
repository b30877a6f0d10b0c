#ifndef UMBERTRAIL_FRONT_EVENT_LOG_H_
#define UMBERTRAIL_FRONT_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace umbertrail::front {

// A named value in a log line.
struct Field {
  absl::string_view name;
  std::variant<absl::string_view, int64_t, double, bool> value;
};

// Structured log with one JSON object per line. A budget of bytes per second
// limits the volume, and writes never block: lines beyond the budget or for a
// full pipe are dropped. The next written line has the number of dropped lines.
class EventLog {
 public:
  // Part of the budget is reserved for important lines.
  enum class Level { kNormal, kImportant };
  using Fields = std::vector<Field>;

  // Writes to descriptor `fd` and makes it non-blocking.
  EventLog(int fd, std::string instance);

  // `on_dropped` runs for each dropped line.
  void SetOnDropped(std::function<void()> on_dropped) {
    on_dropped_ = std::move(on_dropped);
  }

  void Write(Level level,
             absl::string_view event,
             const Fields& fields,
             absl::Time now);

 private:
  void DropLine();
  bool SpendBudget(Level level, size_t bytes, absl::Time now);

  int fd_;
  std::string instance_;
  double budget_ = 0;
  absl::Time refilled_ = absl::InfinitePast();
  int64_t dropped_lines_ = 0;
  std::function<void()> on_dropped_;
  // Remainder of a partially written line.
  std::string unwritten_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_EVENT_LOG_H_
