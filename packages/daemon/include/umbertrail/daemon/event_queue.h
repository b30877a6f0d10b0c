#ifndef UMBERTRAIL_DAEMON_EVENT_QUEUE_H_
#define UMBERTRAIL_DAEMON_EVENT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/node.h"
#include "umbertrail/daemon/ports.h"

namespace umbertrail::daemon {

// Bounds of the queue, in events.
struct QueueLimits {
  // Callers' requests that wait; Offer() refuses further ones.
  size_t requests = 1024;
  // All that wait; Post() waits for room beyond it.
  size_t events = 16384;
};

// A question to the node, answered on the loop's thread.
class StatusQuery {
 public:
  void Answer(core::NodeStatus status);
  // Nothing when no answer came within `limit`.
  std::optional<core::NodeStatus> Await(absl::Duration limit);

 private:
  absl::Mutex mutex_;
  bool answered_ ABSL_GUARDED_BY(mutex_) = false;
  core::NodeStatus status_ ABSL_GUARDED_BY(mutex_);
};

// Either an event or a query.
struct QueueEntry {
  std::optional<core::Event> event;
  std::shared_ptr<StatusQuery> query;
};

// The bounded queue before the core loop. Thread-safe.
class EventQueue : public EventPort {
 public:
  explicit EventQueue(QueueLimits limits) : limits_(limits) {}

  // False too once the queue is closed.
  bool Offer(core::Event event) override;
  // Never waits on the consumer's thread; drops the event once closed.
  void Post(core::Event event) override;
  // False once the queue is closed. Queries are not bounded.
  bool Ask(std::shared_ptr<StatusQuery> query);

  // The oldest entry, waiting at most `limit`. The calling thread becomes the
  // consumer.
  std::optional<QueueEntry> Take(absl::Duration limit);

  // Drops what waits and what comes, and lets nobody wait any longer.
  void Close();
  bool closed() const;

 private:
  struct Slot {
    QueueEntry entry;
    bool is_request = false;
  };

  bool HasRoom() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool HasEntryOrClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const QueueLimits limits_;
  mutable absl::Mutex mutex_;
  std::deque<Slot> slots_ ABSL_GUARDED_BY(mutex_);
  size_t requests_ ABSL_GUARDED_BY(mutex_) = 0;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread::id consumer_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_EVENT_QUEUE_H_
