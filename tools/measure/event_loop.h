#ifndef UMBERTRAIL_TOOLS_MEASURE_EVENT_LOOP_H_
#define UMBERTRAIL_TOOLS_MEASURE_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"

namespace umbertrail::measure {

// Virtual time: runs callbacks in the order of their times, and those of one
// time in the order in which they were added.
class EventLoop {
 public:
  absl::Time now() const { return now_; }

  void At(absl::Time time, std::function<void()> run) {
    events_.emplace(Key{std::max(time, now_), ++serial_}, std::move(run));
  }
  void After(absl::Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  // Runs until nothing is left or `end` is reached.
  void RunUntil(absl::Time end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  using Key = std::pair<absl::Time, uint64_t>;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(24);
  uint64_t serial_ = 0;
  std::map<Key, std::function<void()>> events_;
};

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_EVENT_LOOP_H_
