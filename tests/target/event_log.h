#ifndef UMBERTRAIL_TESTS_TARGET_EVENT_LOG_H_
#define UMBERTRAIL_TESTS_TARGET_EVENT_LOG_H_

#include <functional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "umbertrail/core/events.h"

namespace umbertrail::testing {

// Collects events from any thread.
class EventLog {
 public:
  std::function<void(core::Event)> Callback();

  // Waits until `count` events of this kind came, and returns those.
  template <typename Kind>
  std::vector<Kind> Await(size_t count) const {
    std::vector<Kind> found;
    const auto enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      found.clear();
      for (const core::Event& it : events_) {
        if (const Kind* event = std::get_if<Kind>(&it)) {
          found.push_back(*event);
        }
      }
      return found.size() >= count;
    };
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(&enough));
    return found;
  }

  // Those of this kind that came so far.
  template <typename Kind>
  std::vector<Kind> All() const {
    return Await<Kind>(0);
  }

 private:
  void Add(core::Event event);

  mutable absl::Mutex mutex_;
  std::vector<core::Event> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_TARGET_EVENT_LOG_H_
