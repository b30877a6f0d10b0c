#ifndef UMBERTRAIL_DAEMON_CORE_LOOP_H_
#define UMBERTRAIL_DAEMON_CORE_LOOP_H_

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/node.h"
#include "umbertrail/daemon/node_driver.h"
#include "umbertrail/daemon/ports.h"

namespace umbertrail::daemon {

// Bounds of the loop's queue, in events.
struct LoopLimits {
  // Callers' requests that wait; Offer() refuses further ones.
  size_t requests = 1024;
  // All that wait; Post() waits for room beyond it.
  size_t events = 16384;
};

// Runs a node: one thread takes events from a bounded queue, hands each to the
// node with the time at which it is taken out, and dispatches the actions in
// order. Time is read when an event is taken out, not when it was put in, so
// that after a pause the node never acts on an older time than the true one.
class CoreLoop {
 public:
  // Called on the loop's thread whenever the manifest in force changed.
  using ManifestCallback = std::function<void(const manifest::Manifest&)>;

  // Starts nothing yet. `clock`, `observer` and what `ports` names must outlive
  // the loop; `observer` may be null.
  CoreLoop(std::unique_ptr<NodeDriver> node,
           LoopPorts ports,
           const Clock* clock,
           LoopObserver* observer,
           ManifestCallback on_manifest,
           LoopLimits limits);
  // Stops the loop.
  ~CoreLoop();
  CoreLoop(const CoreLoop&) = delete;
  CoreLoop& operator=(const CoreLoop&) = delete;

  // Starts the thread. Call it once.
  void Start();

  // Puts in a caller's request; false, at once, when too many wait or the loop
  // has stopped. Thread-safe.
  bool Offer(core::Event event);

  // Puts in any other event, and waits for room while the queue is full: the
  // back-pressure on peers and targets. On the loop's own thread it never
  // waits. Dropped once the loop has stopped. Thread-safe.
  void Post(core::Event event);

  // Whether callers should be sent here: as the node said within the last
  // second, and not stopping. False too while the loop's thread is stuck or has
  // just been paused. Thread-safe.
  bool ready() const;

  // The node's status, from the loop's thread; nothing when it did not answer
  // within `limit`. Thread-safe.
  std::optional<core::NodeStatus> Status(absl::Duration limit);

  // Begins the graceful stop: not ready at once, then StopRequested to the
  // node. Thread-safe.
  void RequestStop();

  // Waits until the node has asked for StopComplete; false when it did not
  // within `limit`. Thread-safe.
  bool AwaitStopComplete(absl::Duration limit);

  // Ends the thread; what is queued is dropped. Thread-safe.
  void Stop();

 private:
  // Answered by the loop's thread.
  struct StatusQuery {
    absl::Mutex mutex;
    bool answered ABSL_GUARDED_BY(mutex) = false;
    core::NodeStatus status ABSL_GUARDED_BY(mutex);
  };
  struct Entry {
    std::optional<core::Event> event;
    bool is_request = false;
    std::shared_ptr<StatusQuery> query;
  };

  void Run();
  std::optional<Entry> Take();
  void Handle(core::Event event);
  void Answer(StatusQuery* query);
  void Dispatch(core::Actions actions);
  void NoticeManifest();
  void NoticeReadiness();
  bool HasRoom() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool HasEntryOrStopped() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::unique_ptr<NodeDriver> node_;
  const LoopPorts ports_;
  const Clock* const clock_;
  LoopObserver* const observer_;
  const ManifestCallback on_manifest_;
  const LoopLimits limits_;

  absl::Mutex mutex_;
  std::deque<Entry> queue_ ABSL_GUARDED_BY(mutex_);
  size_t requests_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool stop_complete_ ABSL_GUARDED_BY(mutex_) = false;

  std::atomic<bool> ready_{false};
  // When ready_ was set.
  std::atomic<absl::Time> ready_seen_{absl::InfinitePast()};
  std::atomic<bool> stopping_{false};

  // Of the loop's thread alone.
  absl::Time last_now_ = absl::InfinitePast();
  ManifestRevision seen_revision_;

  std::thread thread_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_CORE_LOOP_H_
