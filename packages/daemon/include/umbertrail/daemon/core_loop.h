#ifndef UMBERTRAIL_DAEMON_CORE_LOOP_H_
#define UMBERTRAIL_DAEMON_CORE_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/daemon/event_queue.h"
#include "umbertrail/daemon/node_driver.h"
#include "umbertrail/daemon/ports.h"

namespace umbertrail::daemon {

// Runs a node: one thread takes events from the queue, hands each to the node
// with the time at which it is taken out, and dispatches the actions in order.
// Time is read when an event is taken out, not when it was put in, so that
// after a pause the node never acts on an older time than the true one.
class CoreLoop {
 public:
  // Called on the loop's thread whenever the manifest in force changed.
  using ManifestCallback = std::function<void(const manifest::Manifest&)>;

  // Starts nothing yet. `queue`, `clock`, `observer` and what `ports` names
  // must outlive the loop; `observer` may be null.
  CoreLoop(EventQueue* queue,
           std::unique_ptr<NodeDriver> node,
           LoopPorts ports,
           const Clock* clock,
           LoopObserver* observer,
           ManifestCallback on_manifest);
  // Stops the loop.
  ~CoreLoop();
  CoreLoop(const CoreLoop&) = delete;
  CoreLoop& operator=(const CoreLoop&) = delete;

  // Starts the thread. Call it once.
  void Start();

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

  // Closes the queue and ends the thread.
  void Stop();

 private:
  void Run();
  void Handle(core::Event event);
  void Dispatch(const core::Actions& actions);
  void Dispatch(const core::Action& action);
  void NoticeManifest();
  void NoticeReadiness();
  absl::Time Now();

  EventQueue* const queue_;
  const std::unique_ptr<NodeDriver> node_;
  const LoopPorts ports_;
  const Clock* const clock_;
  LoopObserver* const observer_;
  const ManifestCallback on_manifest_;

  absl::Mutex mutex_;
  bool stop_complete_ ABSL_GUARDED_BY(mutex_) = false;

  std::atomic<bool> ready_{false};
  // When ready_ was set, in the clock's nanoseconds.
  std::atomic<int64_t> ready_seen_{0};
  std::atomic<bool> stopping_{false};

  // Of the loop's thread alone.
  absl::Time last_now_ = absl::InfinitePast();
  ManifestRevision seen_revision_;

  std::thread thread_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_CORE_LOOP_H_
