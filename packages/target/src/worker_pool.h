#ifndef UMBERTRAIL_TARGET_SRC_WORKER_POOL_H_
#define UMBERTRAIL_TARGET_SRC_WORKER_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace umbertrail::target::detail {

// Runs tasks on threads that are started as they are needed and then kept.
class WorkerPool {
 public:
  using Task = std::function<void()>;

  // At most `max_threads` tasks run and `max_waiting` wait for a thread.
  WorkerPool(int max_threads, size_t max_waiting);
  // Drops waiting tasks and waits for running ones.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Takes a task; false when the pool is full or stopping.
  bool Submit(Task task);

 private:
  void Run();
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t max_threads_;
  const size_t max_waiting_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Threads that wait for a task.
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<Task> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::target::detail

#endif  // UMBERTRAIL_TARGET_SRC_WORKER_POOL_H_
