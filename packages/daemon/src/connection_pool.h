#ifndef UMBERTRAIL_DAEMON_CONNECTION_POOL_H_
#define UMBERTRAIL_DAEMON_CONNECTION_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <httplib.h>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace umbertrail::daemon::detail {

// Runs each connection on a thread of its own, at most `limit` at once. Threads
// are started when first needed and kept. A connection beyond the limit runs at
// once on the accepting thread with refusing() set: it must answer briefly.
class ConnectionPool : public httplib::TaskQueue {
 public:
  explicit ConnectionPool(size_t limit) : limit_(limit) {}

  void enqueue(std::function<void()> fn) override;
  // Waits for running connections.
  void shutdown() override;

  // Whether the calling thread handles a connection beyond the limit.
  static bool refusing();

 private:
  void Work();
  bool HasJobOrEnds() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t limit_;
  absl::Mutex mutex_;
  std::deque<std::function<void()>> jobs_ ABSL_GUARDED_BY(mutex_);
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::thread> threads_;
};

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_CONNECTION_POOL_H_
