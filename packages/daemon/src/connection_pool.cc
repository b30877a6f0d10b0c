#include "connection_pool.h"

#include <utility>

namespace umbertrail::daemon::detail {
namespace {

thread_local bool t_refusing = false;

}  // namespace

bool ConnectionPool::refusing() {
  return t_refusing;
}

void ConnectionPool::enqueue(std::function<void()> fn) {
  {
    absl::MutexLock lock(&mutex_);
    if (jobs_.size() < idle_) {
      jobs_.push_back(std::move(fn));
      return;
    }
    if (threads_.size() < limit_) {
      jobs_.push_back(std::move(fn));
      threads_.emplace_back([this] { Work(); });
      return;
    }
  }
  t_refusing = true;
  fn();
  t_refusing = false;
}

void ConnectionPool::shutdown() {
  {
    absl::MutexLock lock(&mutex_);
    ending_ = true;
  }
  for (std::thread& it : threads_) {
    it.join();
  }
  threads_.clear();
}

bool ConnectionPool::HasJobOrEnds() const {
  return !jobs_.empty() || ending_;
}

void ConnectionPool::Work() {
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      ++idle_;
      mutex_.Await(absl::Condition(this, &ConnectionPool::HasJobOrEnds));
      --idle_;
      if (jobs_.empty()) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace umbertrail::daemon::detail
