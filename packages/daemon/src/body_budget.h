#ifndef UMBERTRAIL_DAEMON_BODY_BUDGET_H_
#define UMBERTRAIL_DAEMON_BODY_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace umbertrail::daemon::detail {

// Bounds the bytes of all callers' bodies together. Thread-safe.
class BodyBudget {
 public:
  explicit BodyBudget(size_t limit) : limit_(limit) {}

  // False if `bytes` more don't fit; nothing is taken then.
  bool Take(size_t bytes) {
    if (used_.fetch_add(bytes) + bytes <= limit_) {
      return true;
    }
    Return(bytes);
    return false;
  }
  void Return(size_t bytes) { used_.fetch_sub(bytes); }

 private:
  const size_t limit_;
  std::atomic<size_t> used_{0};
};

// What one request has taken; returned when it ends. Belongs to one thread.
class BodyCharge {
 public:
  explicit BodyCharge(BodyBudget* budget) : budget_(budget) {}
  ~BodyCharge() { budget_->Return(bytes_); }
  BodyCharge(const BodyCharge&) = delete;
  BodyCharge& operator=(const BodyCharge&) = delete;

  // False if the budget has no room for so many bytes in all.
  bool GrowTo(size_t bytes) {
    if (bytes <= bytes_) {
      return true;
    }
    if (!budget_->Take(bytes - bytes_)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }

 private:
  BodyBudget* const budget_;
  size_t bytes_ = 0;
};

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_BODY_BUDGET_H_
