#ifndef UMBERTRAIL_TESTS_SIM_SCHEDULER_H_
#define UMBERTRAIL_TESTS_SIM_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"

namespace umbertrail::sim {

// Virtual time: runs tasks in order of their times, ties in order of posting.
class Scheduler {
 public:
  absl::Time now() const { return now_; }

  void At(absl::Time when, std::function<void()> task) {
    tasks_.emplace(Key{std::max(when, now_), next_++}, std::move(task));
  }
  void After(absl::Duration delay, std::function<void()> task) {
    At(now_ + delay, std::move(task));
  }

  // Runs everything due until `end`, then stands at `end`.
  void RunUntil(absl::Time end) {
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    now_ = end;
  }

 private:
  using Key = std::pair<absl::Time, uint64_t>;

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  uint64_t next_ = 0;
  std::map<Key, std::function<void()>> tasks_;
};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_SCHEDULER_H_
