#include "target/event_log.h"

#include <utility>

namespace umbertrail::testing {

std::function<void(core::Event)> EventLog::Callback() {
  return [this](core::Event event) { Add(std::move(event)); };
}

void EventLog::Add(core::Event event) {
  absl::MutexLock lock(&mutex_);
  events_.push_back(std::move(event));
}

}  // namespace umbertrail::testing
