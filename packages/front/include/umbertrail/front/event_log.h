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

// One named value of a log line.
struct Field {
  absl::string_view name;
  std::variant<absl::string_view, int64_t, double, bool> value;
};

// Structured lines on standard output, one JSON object each. A budget of bytes
// a second bounds the volume; a full pipe costs lines, never time. What is left
// out is counted and told in the next line that fits.
class EventLog {
 public:
  // Importance decides which lines a spent budget still lets through.
  enum class Level { kNormal, kImportant };
  using Fields = std::vector<Field>;

  // Writes to descriptor `fd`, which is set not to block.
  EventLog(int fd, std::string instance);

  // `on_dropped` runs for each line that is left out.
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
  // Rest of a line that the pipe took in part.
  std::string unwritten_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_EVENT_LOG_H_
