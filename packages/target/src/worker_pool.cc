#include "worker_pool.h"

#include <utility>

namespace umbertrail::target::detail {

WorkerPool::WorkerPool(int max_threads, size_t max_waiting)
    : max_threads_(static_cast<size_t>(max_threads)),
      max_waiting_(max_waiting) {}

WorkerPool::~WorkerPool() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    tasks_.clear();
    threads.swap(threads_);
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

bool WorkerPool::Submit(Task task) {
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return false;
  }
  const bool thread_free = idle_ > tasks_.size();
  const bool may_grow = threads_.size() < max_threads_;
  if (!thread_free && !may_grow && tasks_.size() >= idle_ + max_waiting_) {
    return false;
  }
  tasks_.push_back(std::move(task));
  if (!thread_free && may_grow) {
    ++idle_;
    threads_.emplace_back([this] { Run(); });
  }
  return true;
}

bool WorkerPool::HasWork() const {
  return stopping_ || !tasks_.empty();
}

void WorkerPool::Run() {
  mutex_.Lock();
  while (true) {
    mutex_.Await(absl::Condition(this, &WorkerPool::HasWork));
    if (stopping_) {
      break;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    --idle_;
    mutex_.Unlock();
    task();
    task = nullptr;
    mutex_.Lock();
    ++idle_;
  }
  mutex_.Unlock();
}

}  // namespace umbertrail::target::detail
