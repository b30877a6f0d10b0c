#include "umbertrail/daemon/event_queue.h"

#include <utility>

namespace umbertrail::daemon {

void StatusQuery::Answer(core::NodeStatus status) {
  absl::MutexLock lock(&mutex_);
  status_ = std::move(status);
  answered_ = true;
}

std::optional<core::NodeStatus> StatusQuery::Await(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  if (!mutex_.AwaitWithTimeout(absl::Condition(&answered_), limit)) {
    return std::nullopt;
  }
  return status_;
}

bool EventQueue::HasRoom() const {
  return slots_.size() < limits_.events || closed_;
}

bool EventQueue::HasEntryOrClosed() const {
  return !slots_.empty() || closed_;
}

bool EventQueue::Offer(core::Event event) {
  absl::MutexLock lock(&mutex_);
  if (closed_ || requests_ >= limits_.requests) {
    return false;
  }
  ++requests_;
  slots_.push_back(Slot{{std::move(event), nullptr}, /*is_request=*/true});
  return true;
}

void EventQueue::Post(core::Event event) {
  absl::MutexLock lock(&mutex_);
  if (consumer_ != std::this_thread::get_id()) {
    mutex_.Await(absl::Condition(this, &EventQueue::HasRoom));
  }
  if (!closed_) {
    slots_.push_back(Slot{{std::move(event), nullptr}, /*is_request=*/false});
  }
}

bool EventQueue::Ask(std::shared_ptr<StatusQuery> query) {
  absl::MutexLock lock(&mutex_);
  if (closed_) {
    return false;
  }
  slots_.push_back(Slot{{std::nullopt, std::move(query)}, false});
  return true;
}

std::optional<QueueEntry> EventQueue::Take(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  consumer_ = std::this_thread::get_id();
  mutex_.AwaitWithTimeout(absl::Condition(this, &EventQueue::HasEntryOrClosed),
                          limit);
  if (slots_.empty()) {
    return std::nullopt;
  }
  Slot slot = std::move(slots_.front());
  slots_.pop_front();
  if (slot.is_request) {
    --requests_;
  }
  return std::move(slot.entry);
}

void EventQueue::Close() {
  absl::MutexLock lock(&mutex_);
  closed_ = true;
  slots_.clear();
}

bool EventQueue::closed() const {
  absl::MutexLock lock(&mutex_);
  return closed_;
}

}  // namespace umbertrail::daemon
